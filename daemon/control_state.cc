#include "daemon/control_state.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/units.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace {

PeerInfo ToPeer(const Member& member) {
  return {member.daemon, member.address, member.failure_domain};
}

std::vector<PeerInfo> ToPeers(const std::vector<Member>& members) {
  std::vector<PeerInfo> peers;
  std::transform(members.begin(), members.end(), std::back_inserter(peers), ToPeer);
  return peers;
}

MembershipOptions MakeMembershipOptions(const ControlTiming& timing) {
  MembershipOptions options;
  options.probe_interval = timing.membership_probe_interval;
  options.probe_timeout = timing.membership_probe_timeout;
  options.suspicion_period = timing.suspicion;
  options.digest_interval = timing.digest;
  return options;
}

FailureDetectorOptions MakeDetectorOptions(const ControlTiming& timing) {
  FailureDetectorOptions options;
  options.probe_interval = timing.probe;
  options.probe_timeout = timing.probe_timeout;
  options.stall_timeout = timing.replication_stall;
  return options;
}

FailoverOptions MakeFailoverOptions(const ControlTiming& timing) {
  FailoverOptions options;
  options.takeover_delay = timing.electing;
  options.min_promotion_interval = timing.promotion_pause;
  // Longer than the timeout of the platform client, so that call_timeout expires only when the
  // outcome of a call is never reported to Failover.
  options.call_timeout = timing.platform_timeout * 2 + 500ms;
  return options;
}

PlatformBudgetOptions MakeBudgetOptions(const ControlTiming& timing) {
  PlatformBudgetOptions options;
  options.backoff_base = timing.backoff_base;
  options.backoff_cap = timing.backoff_cap;
  return options;
}

}  // namespace

ControlState::ControlState(const DaemonSettings& settings,
                           const std::string& peers_address,
                           uint64_t incarnation,
                           uint64_t seed)
    : random(seed),
      daemon(settings.daemon),
      failure_domain(settings.failure_domain),
      detector_options(MakeDetectorOptions(settings.control)),
      failover_options(MakeFailoverOptions(settings.control)),
      membership({settings.daemon, peers_address, settings.failure_domain, incarnation,
                  MemberState::kAlive},
                 MakeMembershipOptions(settings.control),
                 &this->random),
      spread(settings.daemon, peers_address, {}, &this->store),
      budget(MakeBudgetOptions(settings.control), &this->random) {
  std::vector<std::string> seeds;
  for (const SeedPeer& seed_peer : settings.seed_peers) {
    if (seed_peer.daemon != settings.daemon) {
      seeds.push_back(seed_peer.address);
    }
  }
  this->membership.SetSeeds(std::move(seeds));
  this->ownership.Update(this->membership.Self());
}

// --- Event processing ---

ControlWork ControlState::Tick(TimePoint now) {
  std::lock_guard lock(this->mutex);
  ControlWork work;
  this->membership.Tick(now);
  for (auto& [service, control] : this->group_controls) {
    control->detector.Tick(now);
    control->failover.Tick(now);
    this->CollectGroupActions(service, control.get(), &work);
  }
  this->CollectMessages(&work, now);
  return work;
}

ControlWork ControlState::ReceiveGossip(const std::vector<GossipMessage>& messages, TimePoint now) {
  std::lock_guard lock(this->mutex);
  for (const GossipMessage& message : messages) {
    this->membership.Receive(message, now);
    this->spread.RepairIfDifferent(message.sender, message.config_hash, now);
  }
  ControlWork work;
  this->CollectMessages(&work, now);
  return work;
}

ControlWork ControlState::ReceiveConfig(const std::vector<ConfigMessage>& messages, TimePoint now) {
  std::lock_guard lock(this->mutex);
  for (const ConfigMessage& message : messages) {
    this->ApplyUnits(this->spread.Receive(message, this->PickPeers()), now);
  }
  ControlWork work;
  this->CollectMessages(&work, now);
  return work;
}

ControlWork ControlState::Publish(const std::vector<ConfigUnit>& units, TimePoint now) {
  std::lock_guard lock(this->mutex);
  this->ApplyUnits(this->spread.Publish(units, this->PickPeers()), now);
  ControlWork work;
  this->CollectMessages(&work, now);
  return work;
}

ControlWork ControlState::OnGroup(const std::string& service,
                                  const std::function<void(GroupControl&)>& event,
                                  TimePoint now) {
  std::lock_guard lock(this->mutex);
  ControlWork work;
  const auto found = this->group_controls.find(service);
  if (found != this->group_controls.end()) {
    event(*found->second);
    this->CollectGroupActions(service, found->second.get(), &work);
  }
  this->CollectMessages(&work, now);
  return work;
}

ControlWork ControlState::Leave(bool stop_now) {
  std::lock_guard lock(this->mutex);
  if (stop_now) {
    this->membership.Stop();
  } else {
    this->membership.Leave();
  }
  ControlWork work;
  this->CollectMessages(&work, TimePoint());
  return work;
}

std::vector<Member> ControlState::PickPeers() {
  return this->membership.RandomPeers(ConfigSpreadOptions().fanout + 1);
}

void ControlState::CollectMessages(ControlWork* work, TimePoint now) {
  for (const Member& change : this->membership.TakeChanges()) {
    this->ownership.Update(change);
    Log(LogLevel::kInfo, "member state changed",
        {{"member", change.daemon},
         {"state", kMemberStateNames.NameOf(change.state)},
         {"incarnation", change.incarnation}});
  }
  if (this->monitored_generation != this->ownership.Generation()) {
    this->UpdateMonitoredGroups(now);
  }
  this->membership.SetConfigHash(this->store.Hash());
  std::ranges::move(this->membership.TakeOutgoing(), std::back_inserter(work->gossip));
  std::ranges::move(this->spread.TakeOutgoing(), std::back_inserter(work->config));
}

void ControlState::CollectGroupActions(const std::string& service,
                                       GroupControl* control,
                                       ControlWork* work) {
  for (DetectorAction& action : control->detector.TakeActions()) {
    work->detections.emplace_back(service, std::move(action));
  }
  for (FailoverAction& action : control->failover.TakeActions()) {
    work->failovers.emplace_back(service, std::move(action));
  }
}

// --- Configuration ---

void ControlState::ApplyUnits(const std::vector<ConfigUnit>& units, TimePoint now) {
  for (const ConfigUnit& unit : units) {
    try {
      switch (unit.kind) {
        case UnitKind::kConfig:
          this->settings.Update(unit.name, unit.content);
          break;
        case UnitKind::kGroup:
          this->ApplyGroupUnit(unit, now);
          break;
        case UnitKind::kVm:
          this->ApplyVmUnit(unit, now);
          break;
      }
    } catch (const std::exception& error) {
      Log(LogLevel::kError, "ignoring a malformed configuration unit",
          {{"kind", kUnitKindNames.NameOf(unit.kind)},
           {"name", unit.name},
           {"version", unit.version},
           {"error", error.what()}});
    }
  }
}

void ControlState::ApplyGroupUnit(const ConfigUnit& unit, TimePoint now) {
  GroupState group = ParseGroup(unit.content, unit.version);
  group.service = unit.name;
  for (EndpointInfo& endpoint : group.endpoints) {
    endpoint.leaving = this->leaving.contains(endpoint.name);
  }
  this->ownership.AddGroup(unit.name);
  Log(LogLevel::kInfo, "group state changed",
      {{"service", unit.name},
       {"term", group.term},
       {"phase", kGroupPhaseNames.NameOf(group.phase)},
       {"primary", group.primary}});
  this->groups[unit.name] = group;
  this->UpdateGroupControl(group, now);
}

void ControlState::ApplyVmUnit(const ConfigUnit& unit, TimePoint now) {
  const nlohmann::json json = nlohmann::json::parse(unit.content);
  const bool is_leaving = json.value("state", "") == "leaving";
  if (is_leaving == this->leaving.contains(unit.name)) {
    return;
  }
  if (is_leaving) {
    this->leaving.insert(unit.name);
  } else {
    this->leaving.erase(unit.name);
  }
  for (auto& [service, group] : this->groups) {
    for (EndpointInfo& endpoint : group.endpoints) {
      if (endpoint.name == unit.name) {
        endpoint.leaving = is_leaving;
        this->UpdateGroupControl(group, now);
      }
    }
  }
}

void ControlState::UpdateGroupControl(const GroupState& group, TimePoint now) {
  const auto found = this->group_controls.find(group.service);
  if (found != this->group_controls.end()) {
    found->second->failover.UpdateGroup(group, now);
    found->second->detector.SetGroup(group, now);
  }
}

void ControlState::UpdateMonitoredGroups(TimePoint now) {
  this->monitored_generation = this->ownership.Generation();
  const std::vector<std::string> names = this->ownership.GroupsOf(this->daemon);
  const std::set<std::string> monitored(names.begin(), names.end());
  std::erase_if(this->group_controls, [&monitored](const auto& entry) {
    // A daemon completes a promotion that it has started, even if it no longer monitors the group.
    return !monitored.contains(entry.first) && entry.second->failover.Step() == FailoverStep::kIdle;
  });
  for (const std::string& service : monitored) {
    auto& control = this->group_controls[service];
    if (control == nullptr) {
      control = std::make_unique<GroupControl>(this->daemon, this->detector_options,
                                               this->failover_options, &this->random);
      const auto group = this->groups.find(service);
      if (group != this->groups.end()) {
        this->UpdateGroupControl(group->second, now);
      }
    }
  }
}

// --- Budget of platform calls ---

bool ControlState::TakePlatformCall(bool urgent, TimePoint now) {
  std::lock_guard lock(this->mutex);
  return this->budget.TryTake(now, urgent);
}

void ControlState::OnPlatformAnswer(bool answered, TimePoint now) {
  std::lock_guard lock(this->mutex);
  const BreakerState before = this->budget.State();
  if (answered) {
    this->budget.OnSuccess();
  } else {
    this->budget.OnFailure(now);
  }
  if (this->budget.State() != before) {
    Log(LogLevel::kWarn, "circuit breaker for platform calls changed state",
        {{"state", kBreakerStateNames.NameOf(this->budget.State())}});
  }
}

// --- Queries ---

std::optional<size_t> ControlState::WatcherRank() const {
  std::lock_guard lock(this->mutex);
  const std::vector<Member> watchers = this->ownership.WatchersOf(this->failure_domain);
  for (size_t i = 0; i < watchers.size(); ++i) {
    if (watchers[i].daemon == this->daemon) {
      return i;
    }
  }
  return std::nullopt;
}

std::vector<PeerInfo> ControlState::ObserversOf(const std::string& service) {
  std::lock_guard lock(this->mutex);
  std::vector<PeerInfo> observers;
  const auto add = [&](const Member& member) {
    const bool known =
        std::any_of(observers.begin(), observers.end(),
                    [&member](const PeerInfo& each) { return each.daemon == member.daemon; });
    if (!known && member.daemon != this->daemon) {
      observers.push_back(ToPeer(member));
    }
  };
  for (const Member& member : this->ownership.MonitorsOf(service)) {
    add(member);
  }
  for (const Member& member : this->PickPeers()) {
    add(member);
  }
  return observers;
}

std::vector<PeerInfo> ControlState::OwnersOf(const EndpointInfo& endpoint) const {
  std::lock_guard lock(this->mutex);
  if (this->owners_generation != this->ownership.Generation()) {
    this->owners_generation = this->ownership.Generation();
    this->owners.clear();
  }
  std::vector<PeerInfo>& cached = this->owners[endpoint.name];
  if (cached.empty()) {
    cached = ToPeers(this->ownership.OwnersOf(endpoint.name, endpoint.failure_domain));
  }
  return cached;
}

std::vector<PeerInfo> ControlState::MonitorsOf(const std::string& service) const {
  std::lock_guard lock(this->mutex);
  return ToPeers(this->ownership.MonitorsOf(service));
}

std::optional<GroupState> ControlState::FindGroup(const std::string& service) const {
  std::lock_guard lock(this->mutex);
  const auto found = this->groups.find(service);
  return found == this->groups.end() ? std::nullopt : std::optional(found->second);
}

std::optional<ServiceSettings> ControlState::FindSettings(const std::string& service,
                                                          const std::string& site) const {
  std::lock_guard lock(this->mutex);
  return this->settings.Find(service, site);
}

std::vector<std::string> ControlState::ServiceNames() const {
  std::lock_guard lock(this->mutex);
  return this->settings.ServiceNames();
}

std::optional<ConfigUnit> ControlState::FindUnit(UnitKind kind, const std::string& name) const {
  std::lock_guard lock(this->mutex);
  const ConfigUnit* unit = this->store.Find(kind, name);
  return unit == nullptr ? std::nullopt : std::optional(*unit);
}

std::vector<ConfigUnit> ControlState::UnitsOf(UnitKind kind) const {
  std::lock_guard lock(this->mutex);
  return this->store.UnitsOf(kind);
}

std::vector<Member> ControlState::Members() const {
  std::lock_guard lock(this->mutex);
  return this->membership.Table().All();
}

uint64_t ControlState::ConfigHash() const {
  std::lock_guard lock(this->mutex);
  return this->store.Hash();
}

uint64_t ControlState::ConfigRevision() const {
  std::lock_guard lock(this->mutex);
  return this->store.RevisionOf(UnitKind::kConfig);
}

}  // namespace poplarmoor
