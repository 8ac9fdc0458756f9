#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarmoor {

struct EndpointInfo;
struct GroupState;
struct ServiceSettings;

/// Name, address and failure domain of a daemon to which other daemons can send calls.
struct PeerInfo {
  std::string daemon;
  std::string address;  // Address of the daemon's peer listener, "IP:port".
  std::string failure_domain;
};

/// Interface through which the data path reads groups and settings from the control plane and
/// reports failures to it. All calls are thread-safe and do not block on I/O.
class ClusterView {
 public:
  virtual ~ClusterView() = default;

  /// @param endpoint An endpoint of any group.
  /// @returns The live daemons to which requests for the endpoint may be forwarded, ordered by
  ///     rendezvous hashing: the owner first, then its possible successors. May include this
  ///     daemon.
  virtual std::vector<PeerInfo> OwnersOf(const EndpointInfo& endpoint) const = 0;

  /// @param service Exact name of a service.
  /// @returns The newest known state of the service's group, or nothing when the group is unknown.
  ///     Endpoints that are leaving are marked in the state.
  virtual std::optional<GroupState> FindGroup(const std::string& service) const = 0;

  /// @param service Exact name of a service.
  /// @param site Site whose overrides of the settings apply; empty for settings without overrides.
  /// @returns The effective settings of the service at the site, or nothing when the service is
  ///     unknown or the site may not use it.
  virtual std::optional<ServiceSettings> FindSettings(const std::string& service,
                                                      const std::string& site) const = 0;

  /// @returns Names of all configured services, sorted.
  virtual std::vector<std::string> ServiceNames() const = 0;

  /// Tells the daemons that monitor the service's group that one of the group's endpoints did not
  /// answer.
  virtual void ReportSuspicion(const std::string& service, const std::string& endpoint) = 0;

  /// Requests the newest state of the service's group, because an endpoint or another daemon
  /// reported a higher term than the one that this daemon knows.
  /// @param term The higher term.
  virtual void ReportHigherTerm(const std::string& service, uint64_t term) = 0;
};

}  // namespace poplarmoor
