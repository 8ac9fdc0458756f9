#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarmoor {

struct EndpointInfo;
struct GroupState;
struct ServiceSettings;

/// A daemon as others reach it.
struct PeerInfo {
  std::string daemon;
  std::string address;  // Of its peer listener, "IP:port".
  std::string failure_domain;
};

/// What the data path asks the control plane. All calls are thread-safe and do not block on I/O.
class ClusterView {
 public:
  virtual ~ClusterView() = default;

  /// @param endpoint An endpoint of any group.
  /// @returns Live daemons in rendezvous order; the first is the owner. May include this daemon.
  virtual std::vector<PeerInfo> OwnersOf(const EndpointInfo& endpoint) const = 0;

  /// @param service Exact name of a service.
  /// @returns The newest known state of its group, with leaving endpoints marked.
  virtual std::optional<GroupState> FindGroup(const std::string& service) const = 0;

  /// @param service Exact name of a service.
  /// @param site Site whose overlay applies; may be empty.
  /// @returns The effective settings.
  virtual std::optional<ServiceSettings> FindSettings(const std::string& service,
                                                      const std::string& site) const = 0;

  /// @returns Names of all configured services, sorted.
  virtual std::vector<std::string> ServiceNames() const = 0;

  /// Tells the monitors that an endpoint did not answer.
  virtual void ReportSuspicion(const std::string& service, const std::string& endpoint) = 0;

  /// Asks for the newest group state, because an endpoint answered with a higher term.
  virtual void ReportHigherTerm(const std::string& service, uint64_t term) = 0;
};

}  // namespace poplarmoor
