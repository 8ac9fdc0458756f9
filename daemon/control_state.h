#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/daemon_settings.h"
#include "config/effective_settings.h"
#include "daemon/cluster_view.h"
#include "daemon/control_work.h"
#include "kernel/config_spread.h"
#include "kernel/config_store.h"
#include "kernel/failover.h"
#include "kernel/failure_detector.h"
#include "kernel/membership.h"
#include "kernel/ownership.h"
#include "kernel/platform_budget.h"

namespace poplarmoor {

/// Failure detector and failover of one group that this daemon monitors.
struct GroupControl {
  GroupControl(const std::string& daemon,
               const FailureDetectorOptions& detector,
               const FailoverOptions& failover,
               RandomEngine* random)
      : detector(detector), failover(daemon, failover, random) {}

  FailureDetector detector;
  Failover failover;
};

/// Makes all control decisions of one daemon under one lock. A call that processes an event returns
/// the I/O to perform as a result. Thread-safe; no call blocks on I/O.
class ControlState {
 public:
  /// @param settings Settings of the daemon.
  /// @param peers_address Address of the peer listener, "IP:port".
  /// @param incarnation Incarnation of this daemon; higher than in its earlier runs.
  /// @param seed Seed of the random number generator.
  ControlState(const DaemonSettings& settings,
               const std::string& peers_address,
               uint64_t incarnation,
               uint64_t seed);

  ControlWork Tick(TimePoint now);
  ControlWork ReceiveGossip(const std::vector<GossipMessage>& messages, TimePoint now);
  ControlWork ReceiveConfig(const std::vector<ConfigMessage>& messages, TimePoint now);

  /// Applies units read from or written to the platform, and distributes the new ones to peers.
  ControlWork Publish(const std::vector<ConfigUnit>& units, TimePoint now);

  /// Calls a function with the failure detector and the failover of a group; does not call it when
  /// this daemon does not monitor the group.
  ControlWork OnGroup(const std::string& service,
                      const std::function<void(GroupControl&)>& event,
                      TimePoint now);

  /// Announces that this daemon is leaving.
  /// @param stop_now Whether to announce instead that it stops now.
  ControlWork Leave(bool stop_now);

  /// Takes one call from the budget of platform calls.
  /// @param urgent Whether the call belongs to a promotion or another urgent change.
  /// @returns Whether the platform may be called now.
  bool TakePlatformCall(bool urgent, TimePoint now);

  /// Records whether the platform answered a call, for the circuit breaker.
  void OnPlatformAnswer(bool answered, TimePoint now);

  /// @returns Position of this daemon among the platform watchers of its failure domain, or nothing
  ///     when it is not one of them.
  std::optional<size_t> WatcherRank() const;

  /// @returns Daemons that can confirm the failure of one of the service's endpoints: the other
  ///     monitor, then random peers.
  std::vector<PeerInfo> ObserversOf(const std::string& service);

  std::vector<PeerInfo> OwnersOf(const EndpointInfo& endpoint) const;
  std::vector<PeerInfo> MonitorsOf(const std::string& service) const;
  std::optional<GroupState> FindGroup(const std::string& service) const;
  std::optional<ServiceSettings> FindSettings(const std::string& service,
                                              const std::string& site) const;
  std::vector<std::string> ServiceNames() const;
  std::optional<ConfigUnit> FindUnit(UnitKind kind, const std::string& name) const;
  std::vector<ConfigUnit> UnitsOf(UnitKind kind) const;
  std::vector<Member> Members() const;
  uint64_t ConfigHash() const;
  uint64_t ConfigRevision() const;

 private:
  void CollectMessages(ControlWork* work, TimePoint now);
  void ApplyUnits(const std::vector<ConfigUnit>& units, TimePoint now);
  void ApplyGroupUnit(const ConfigUnit& unit, TimePoint now);
  void ApplyVmUnit(const ConfigUnit& unit, TimePoint now);
  void UpdateGroupControl(const GroupState& group, TimePoint now);
  void UpdateMonitoredGroups(TimePoint now);
  void CollectGroupActions(const std::string& service, GroupControl* control, ControlWork* work);
  std::vector<Member> PickPeers();

  mutable std::mutex mutex;  // Guards everything below.
  RandomEngine random;
  std::string daemon;
  std::string failure_domain;
  FailureDetectorOptions detector_options;
  FailoverOptions failover_options;
  Membership membership;
  Ownership ownership;
  ConfigStore store;
  ConfigSpread spread;
  PlatformBudget budget;
  EffectiveSettings settings;
  std::map<std::string, GroupState> groups;
  std::set<std::string> leaving;  // Names of leaving VMs.
  std::map<std::string, std::unique_ptr<GroupControl>> group_controls;
  uint64_t monitored_generation = UINT64_MAX;  // Ownership generation of `group_controls`.
  mutable uint64_t owners_generation = 0;      // Ownership generation of `owners`.
  mutable std::unordered_map<std::string, std::vector<PeerInfo>> owners;  // By endpoint name.
};

}  // namespace poplarmoor
