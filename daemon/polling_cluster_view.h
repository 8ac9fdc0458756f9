#pragma once

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/cluster_operations.h"
#include "daemon/cluster_view.h"
#include "kernel/group_state.h"
#include "kernel/ownership.h"
#include "kernel/service_settings.h"

namespace poplarmoor {

class PlatformClient;

/// ClusterView for tests and a fleet of one daemon: the list of daemons is fixed, without a
/// membership protocol, and the groups are read from the platform every 500 ms. Thread-safe.
class PollingClusterView : public ClusterView,
                           public ClusterOperations,
                           public std::enable_shared_from_this<PollingClusterView> {
 public:
  /// @param executor Executor of the I/O threads.
  /// @param platform Client of the platform; must outlive this object.
  /// @param daemons All daemons, including this one.
  PollingClusterView(boost::asio::any_io_executor executor,
                     PlatformClient* platform,
                     const std::vector<PeerInfo>& daemons);

  /// Starts reading the groups from the platform.
  void Start();

  /// Ends polling after the current poll.
  void Stop() { this->stopped = true; }

  /// Sets the settings of a service, which has default settings until then.
  void SetSettings(const ServiceSettings& settings);

  std::vector<PeerInfo> OwnersOf(const EndpointInfo& endpoint) const override;
  std::optional<GroupState> FindGroup(const std::string& service) const override;
  std::optional<ServiceSettings> FindSettings(const std::string& service,
                                              const std::string& site) const override;
  std::vector<std::string> ServiceNames() const override;
  void ReportSuspicion(const std::string& service, const std::string& endpoint) override;
  void ReportHigherTerm(const std::string& service, uint64_t term) override;

  std::vector<Member> Members() const override { return this->members; }
  uint64_t ConfigRevision() const override { return this->revision.load(); }
  std::string ConfigDigest() const override { return std::to_string(this->revision.load()); }
  std::string ConfigJson() const override { return "[]"; }
  boost::asio::awaitable<void> Drain(std::string endpoint) override;
  boost::asio::awaitable<void> Promote(std::string service) override;

 private:
  boost::asio::awaitable<void> Poll();
  boost::asio::awaitable<void> ReadGroups();

  boost::asio::any_io_executor executor;
  PlatformClient* platform;
  std::vector<Member> members;
  std::atomic<uint64_t> revision{0};  // Platform's revision at the latest read of the groups.
  std::atomic<bool> stopped{false};
  std::atomic<bool> read_now{false};

  mutable std::mutex mutex;  // Guards everything below.
  Ownership ownership;
  std::map<std::string, GroupState> groups;
  std::map<std::string, ServiceSettings> settings;
};

}  // namespace poplarmoor
