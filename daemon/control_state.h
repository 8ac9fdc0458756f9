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

/// Objects with which this daemon monitors one group: its failure detector, and the Failover that
/// promotes a replica.
struct GroupControl {
  GroupControl(const std::string& daemon,
               const FailureDetectorOptions& detector,
               const FailoverOptions& failover,
               RandomEngine* random)
      : detector(detector), failover(daemon, failover, random) {}

  FailureDetector detector;
  Failover failover;
};

/// Makes all decisions of one daemon's control plane; all methods hold the same lock. A method that
/// processes an event returns the I/O that the method's caller has to perform. Thread-safe; no
/// method blocks on I/O.
class ControlState {
 public:
  /// @param settings Settings of the daemon.
  /// @param peers_address Address of this daemon's peer listener, "IP:port".
  /// @param incarnation Incarnation number of this daemon in the member table; higher than in all
  ///     earlier runs of the daemon.
  /// @param seed Seed of the random number generator.
  ControlState(const DaemonSettings& settings,
               const std::string& peers_address,
               uint64_t incarnation,
               uint64_t seed);

  ControlWork Tick(TimePoint now);
  ControlWork ReceiveGossip(const std::vector<GossipMessage>& messages, TimePoint now);
  ControlWork ReceiveConfig(const std::vector<ConfigMessage>& messages, TimePoint now);

  /// Applies configuration units that this daemon read from or wrote to the platform. The returned
  /// work sends other daemons those units that are newer than the ones this daemon had.
  ControlWork Publish(const std::vector<ConfigUnit>& units, TimePoint now);

  /// Calls `event` with the failure detector and the failover of the service's group. Does nothing
  /// if this daemon does not monitor the group.
  ControlWork OnGroup(const std::string& service,
                      const std::function<void(GroupControl&)>& event,
                      TimePoint now);

  /// Announces to the other daemons that this daemon is leaving or stops now.
  /// @param stop_now True to announce that this daemon stops now, false that it is leaving.
  ControlWork Leave(bool stop_now);

  /// Asks whether this daemon may call the platform now, and if so, counts the call towards the
  /// limit on the rate of platform calls.
  /// @param urgent Whether the call belongs to a promotion or another urgent change.
  /// @returns Whether the platform may be called now.
  bool TakePlatformCall(bool urgent, TimePoint now);

  /// Tells the circuit breaker of the platform calls how a call ended.
  /// @param answered Whether the platform answered; a version conflict counts as an answer.
  void OnPlatformAnswer(bool answered, TimePoint now);

  /// @returns Position of this daemon, counted from 0, in the list of the platform watchers of its
  ///     failure domain; nothing when this daemon is no watcher.
  std::optional<size_t> WatcherRank() const;

  /// @returns Daemons that can be asked to confirm that an endpoint of the service has failed.
  ///     The other monitors of the service's group come first, then random daemons. Excludes this
  ///     daemon.
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
  // The following methods are called with the mutex held.
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

  // Number of changes to the assignment of endpoints to daemons (`ownership.Generation()`) at the
  // latest update of `group_controls`. Once that number differs, an update is due.
  uint64_t monitored_generation = UINT64_MAX;

  // Number of changes to the assignment of endpoints to daemons (`ownership.Generation()`) for
  // which `owners` is valid. Once that number differs, `owners` is cleared.
  mutable uint64_t owners_generation = 0;
  // Cached results of OwnersOf(), by endpoint name.
  mutable std::unordered_map<std::string, std::vector<PeerInfo>> owners;
};

}  // namespace poplarmoor
