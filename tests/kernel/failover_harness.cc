#include "failover_harness.h"

#include <algorithm>

namespace poplarmoor {

namespace {

constexpr Duration kTickInterval = 20ms;
// Time at which the first primary is made to work again. No fault should start later.
constexpr TimePoint kFaultsEnd{9s};
constexpr TimePoint kTimeLimit{40s};
constexpr Duration kFaultDuration = 3s;

}  // namespace

FailoverHarness::FailoverHarness(const Scenario& scenario,
                                 const MakeFailover& make,
                                 bool endpoints_fence)
    : scenario(scenario), endpoints_fence(endpoints_fence), random(scenario.seed) {
  this->platform_object.service = "orders";
  this->platform_object.version = 1;
  this->platform_object.term = 1;
  this->platform_object.primary = "e0";
  this->platform_object.term_starts = {{1, 0}};
  for (int i = 0; i < 3; ++i) {
    Endpoint& endpoint = this->endpoints[i];
    endpoint.name = "e" + std::to_string(i);
    endpoint.is_primary = i == 0;
    endpoint.primary = 0;
    endpoint.synced = true;
    this->platform_object.endpoints.push_back({endpoint.name, "10.0.0.1:1", "fd"});
  }
  for (int i = 0; i < 2; ++i) {
    this->proposers[i].failover = make("p" + std::to_string(i), &this->random);
    this->proposers[i].failover->UpdateGroup(this->platform_object, this->now);
  }
}

void FailoverHarness::After(Duration delay, std::function<void()> run) {
  this->events.push({this->now + delay, this->next_order++, std::move(run)});
}

Duration FailoverHarness::Delay() {
  const Duration delay = 1ms + RandomDuration(&this->random, 4ms);
  return this->messages_late ? delay + RandomDuration(&this->random, 1500ms) : delay;
}

int FailoverHarness::IndexOf(const std::string& name) const {
  return name.empty() ? -1 : name[1] - '0';
}

LogPosition FailoverHarness::LastOf(const Endpoint& endpoint) const {
  return endpoint.log.empty() ? LogPosition{}
                              : LogPosition{endpoint.log.back().term, endpoint.log.size()};
}

EndpointStatus FailoverHarness::StatusOf(const Endpoint& endpoint) const {
  EndpointStatus status;
  status.endpoint = endpoint.name;
  status.is_primary = endpoint.is_primary;
  status.term = endpoint.term;
  status.received = endpoint.synced ? endpoint.log.size() : 0;
  status.last = this->LastOf(endpoint);
  return status;
}

// --- Faults ---

void FailoverHarness::InjectFault(Fault fault) {
  const auto set_temporarily = [this](bool* flag) {
    *flag = true;
    this->After(kFaultDuration, [flag] { *flag = false; });
  };
  Endpoint& replica = this->endpoints[1];
  switch (fault) {
    case Fault::kNone:
      break;
    case Fault::kPlatformDown:
      set_temporarily(&this->platform_down);
      break;
    case Fault::kPlatformSlow:
      set_temporarily(&this->platform_slow);
      break;
    case Fault::kAnswersLost:
      set_temporarily(&this->answers_lost);
      break;
    case Fault::kSecondProposer:
      this->proposers[1].failover->Start(FailoverCause::kOperator, this->now);
      break;
    case Fault::kProposerDies:
      this->proposers[0].alive = false;
      break;
    case Fault::kReplicaPaused:
      replica.paused = true;
      this->After(kFaultDuration, [this, &replica] {
        replica.paused = false;
        for (const auto& call : std::exchange(replica.backlog, {})) {
          call();
        }
      });
      break;
    case Fault::kReplicaReplicationDown:
      set_temporarily(&replica.replication_down);
      break;
    case Fault::kOldPrimaryReturns:
      this->endpoints[0].paused = false;
      this->endpoints[0].replication_down = false;
      break;
    case Fault::kMessagesLate:
      set_temporarily(&this->messages_late);
      break;
  }
}

/// If `action` starts a step of the promotion that the first proposer had not reached before,
/// injects the scenario's faults for this step and for the steps that were skipped.
void FailoverHarness::InjectDueFaults(const FailoverAction& action) {
  int reached = -1;
  switch (action.kind) {
    case FailoverActionKind::kUpdate:
      reached = action.group.phase == GroupPhase::kElecting ? 0 : 2;
      break;
    case FailoverActionKind::kFence:
      reached = 1;
      break;
    case FailoverActionKind::kPromote:
      reached = 3;
      break;
    default:
      return;
  }
  if (reached <= this->reached_step) {
    return;
  }
  const int before = this->reached_step;
  this->reached_step = reached;
  for (size_t i = 0; i < 2; ++i) {
    if (this->scenario.steps[i] > before && this->scenario.steps[i] <= reached) {
      this->InjectFault(this->scenario.faults[i]);
    }
  }
}

// --- Calls of the proposers ---

void FailoverHarness::Answer(int proposer, std::function<void(Failover&)> report, Duration delay) {
  this->After(delay, [this, proposer, report = std::move(report)] {
    if (this->proposers[proposer].alive) {
      report(*this->proposers[proposer].failover);
    }
  });
}

void FailoverHarness::CallEndpoint(int endpoint, std::function<void()> run) {
  this->After(this->Delay(), [this, endpoint, run = std::move(run)] {
    if (this->endpoints[endpoint].paused) {
      this->endpoints[endpoint].backlog.push_back(run);
    } else {
      run();
    }
  });
}

void FailoverHarness::PerformUpdate(int proposer, const FailoverAction& action) {
  const uint64_t call = action.call;
  const Duration delay = this->Delay() + (this->platform_slow ? 1200ms : 0ms);
  if (this->platform_down) {
    this->Answer(
        proposer,
        [this, call](Failover& failover) {
          failover.OnUpdate(call, UpdateOutcome::kNotSent, {}, this->now);
        },
        5ms);
    return;
  }
  this->After(delay, [this, proposer, call, group = action.group] {
    UpdateOutcome outcome = UpdateOutcome::kConflict;
    if (group.version == this->platform_object.version) {
      const uint64_t version = this->platform_object.version + 1;
      this->platform_object = group;
      this->platform_object.version = version;
      outcome = UpdateOutcome::kApplied;
    }
    if (this->answers_lost) {
      outcome = UpdateOutcome::kUnknown;
    }
    this->Answer(
        proposer,
        [this, call, outcome, current = this->platform_object](Failover& failover) {
          failover.OnUpdate(call, outcome, current, this->now);
        },
        this->Delay());
  });
}

void FailoverHarness::Perform(int proposer, const FailoverAction& action) {
  if (proposer == 0) {
    this->InjectDueFaults(action);
    if (!this->proposers[0].alive) {
      return;
    }
  }
  const int index = this->IndexOf(action.endpoint.name);
  switch (action.kind) {
    case FailoverActionKind::kUpdate:
      this->PerformUpdate(proposer, action);
      break;
    case FailoverActionKind::kRead: {
      const bool fails = this->platform_down;
      this->After(this->Delay(), [this, proposer, fails, call = action.call] {
        std::optional<GroupState> current;
        if (!fails) {
          current = this->platform_object;
        }
        this->Answer(
            proposer,
            [this, call, current](Failover& failover) {
              failover.OnRead(call, current, this->now);
            },
            this->Delay());
      });
      break;
    }
    case FailoverActionKind::kFence:
      this->CallEndpoint(index, [this, proposer, index, action] {
        Endpoint& endpoint = this->endpoints[index];
        bool granted = action.term == endpoint.term && action.proposer == endpoint.proposer;
        if (action.term > endpoint.term) {
          granted = true;
          if (this->endpoints_fence) {
            endpoint.term = action.term;
            endpoint.proposer = action.proposer;
            endpoint.is_primary = false;
            endpoint.synced = false;
            endpoint.primary = -1;
          }
        }
        const LogPosition last = this->LastOf(endpoint);
        this->Answer(
            proposer,
            [this, action, granted, last](Failover& failover) {
              failover.OnFence(action.endpoint.name, action.term, granted, last, this->now);
            },
            this->Delay());
      });
      break;
    case FailoverActionKind::kPromote:
      this->CallEndpoint(index, [this, index, action] {
        Endpoint& endpoint = this->endpoints[index];
        const bool fenced = action.term < endpoint.term ||
                            (action.term == endpoint.term && action.proposer != endpoint.proposer);
        if (fenced || (action.term == endpoint.term && endpoint.is_primary)) {
          return;
        }
        if (!this->endpoints_fence) {
          endpoint.log.resize(std::min<size_t>(endpoint.log.size(), action.start_index));
        }
        if (action.start_index != endpoint.log.size()) {
          return;
        }
        endpoint.term = action.term;
        endpoint.proposer = action.proposer;
        endpoint.is_primary = true;
        endpoint.synced = true;
        endpoint.primary = index;
      });
      break;
    case FailoverActionKind::kFollow:
      this->CallEndpoint(index, [this, index, action] {
        Endpoint& endpoint = this->endpoints[index];
        const int primary = this->IndexOf(action.primary.name);
        if (action.term < endpoint.term || (action.term == endpoint.term && endpoint.is_primary) ||
            (action.term == endpoint.term && endpoint.primary == primary)) {
          return;
        }
        endpoint.proposer = action.term == endpoint.term ? endpoint.proposer : "";
        endpoint.term = action.term;
        endpoint.is_primary = false;
        endpoint.synced = false;
        endpoint.primary = primary;
      });
      break;
    case FailoverActionKind::kAnnounce:
      this->Answer(
          1 - proposer,
          [this, group = action.group](Failover& failover) {
            failover.UpdateGroup(group, this->now);
          },
          this->Delay());
      break;
  }
}

// --- Simulated endpoints, monitoring daemons and owners ---

void FailoverHarness::Replicate() {
  // The last endpoint pulls log entries less often, so that the endpoints have different log
  // positions when a promotion chooses one of them.
  constexpr std::array<Duration, 3> kPullIntervals{20ms, 20ms, 160ms};
  for (size_t i = 0; i < 3; ++i) {
    Endpoint& replica = this->endpoints[i];
    if (replica.is_primary || replica.primary < 0 || this->now < replica.next_pull) {
      continue;
    }
    replica.next_pull = this->now + kPullIntervals[i];
    const Endpoint& primary = this->endpoints[replica.primary];
    if (replica.paused || replica.replication_down || primary.paused || primary.replication_down ||
        !primary.is_primary || primary.term != replica.term) {
      continue;
    }
    size_t common = 0;
    while (common < replica.log.size() && common < primary.log.size() &&
           replica.log[common].term == primary.log[common].term) {
      ++common;
    }
    replica.log.resize(common);
    replica.log.insert(replica.log.end(), primary.log.begin() + static_cast<ptrdiff_t>(common),
                       primary.log.end());
    replica.synced = true;
  }
}

void FailoverHarness::Probe() {
  for (int p = 0; p < 2; ++p) {
    for (int e = 0; e < 3; ++e) {
      this->After(this->Delay(), [this, p, e] {
        if (this->endpoints[e].paused || !this->proposers[p].alive) {
          return;
        }
        const EndpointStatus status = this->StatusOf(this->endpoints[e]);
        this->Answer(
            p,
            [this, p, status](Failover& failover) {
              this->proposers[p].answer_times[status.endpoint] = this->now;
              failover.OnStatus(status, this->now);
            },
            this->Delay());
      });
    }
    // As in the periodic exchange between daemons, a proposer gets the platform's group state even
    // if the message that announced a change of this state was lost.
    if (!this->platform_down) {
      this->Answer(
          p,
          [this, group = this->platform_object](Failover& failover) {
            failover.UpdateGroup(group, this->now);
          },
          200ms);
    }
  }
}

void FailoverHarness::Detect(int proposer) {
  Proposer& self = this->proposers[proposer];
  const GroupState& group = self.failover->Group();
  if (group.phase != GroupPhase::kServing || this->now < TimePoint(1s) ||
      (proposer == 1 && this->reached_step < 0)) {
    return;
  }
  const Endpoint& primary = this->endpoints[this->IndexOf(group.primary)];
  const TimePoint answered = self.answer_times[group.primary];
  if (this->now - answered >= 1s) {
    self.failover->Start(FailoverCause::kSilent, this->now);
  } else if (primary.replication_down && group.term == primary.term) {
    self.failover->Start(FailoverCause::kStalled, this->now);
  }
}

void FailoverHarness::SendWrites() {
  for (size_t owner = 0; owner < 2; ++owner) {
    std::optional<Write>& write = this->writes[owner];
    if (write && this->now < write->expires) {
      continue;
    }
    write.reset();
    // The second owner never learns of a promotion and keeps sending its writes with term 1.
    const GroupState& group = this->proposers[this->proposers[0].alive ? 0 : 1].failover->Group();
    const int index = owner == 0 ? this->IndexOf(group.primary) : 0;
    const uint64_t term = owner == 0 ? group.term : 1;
    if (index < 0) {
      continue;
    }
    Endpoint& primary = this->endpoints[index];
    if (primary.paused || !primary.is_primary || primary.term != term) {
      continue;
    }
    primary.log.push_back({term, this->next_write});
    write = Write{this->next_write++, index, term, primary.log.size(), this->now + 300ms};
  }
}

void FailoverHarness::Confirm() {
  for (std::optional<Write>& write : this->writes) {
    if (!write) {
      continue;
    }
    for (int i = 0; i < 3; ++i) {
      const Endpoint& replica = this->endpoints[i];
      if (i != write->endpoint && !replica.paused && replica.synced && !replica.is_primary &&
          replica.term == write->term && replica.log.size() >= write->index) {
        this->acknowledged.insert(write->id);
        this->confirmed_by[write->term].insert(write->endpoint);
        write.reset();
        break;
      }
    }
  }
}

/// @returns False if the first primary may stay primary: either it works again before the
/// promotion, or an operator ordered the replacement of the healthy primary, but the proposer died
/// before it changed anything. True otherwise.
bool FailoverHarness::NeedsPromotion() const {
  const auto has = [this](Fault fault) {
    return this->scenario.faults[0] == fault || this->scenario.faults[1] == fault;
  };
  return !has(Fault::kOldPrimaryReturns) &&
         !(this->scenario.trigger == Trigger::kOperator && has(Fault::kProposerDies));
}

ScenarioResult FailoverHarness::Run() {
  ScenarioResult result;
  size_t acknowledged_before = 0;
  bool after_faults = false;
  TimePoint next_probe;
  for (; this->now < kTimeLimit; this->now += kTickInterval) {
    if (this->now == TimePoint(1s)) {
      this->endpoints[0].paused = this->scenario.trigger == Trigger::kPrimaryPaused;
      this->endpoints[0].replication_down =
          this->scenario.trigger == Trigger::kPrimaryReplicationDown;
      if (this->scenario.trigger == Trigger::kOperator) {
        this->proposers[0].failover->Start(FailoverCause::kOperator, this->now);
      }
    }
    if (this->now == kFaultsEnd) {
      this->InjectFault(Fault::kOldPrimaryReturns);
      for (const auto& call : std::exchange(this->endpoints[0].backlog, {})) {
        call();
      }
    }
    const TimePoint end = this->now + kTickInterval;
    const TimePoint start = this->now;
    while (!this->events.empty() && this->events.top().time < end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = std::max(this->now, event.time);
      event.run();
    }
    this->now = start;
    if (this->now >= next_probe) {
      next_probe = this->now + 500ms;
      this->Probe();
    }
    this->Replicate();
    this->Confirm();
    this->SendWrites();
    for (int p = 0; p < 2; ++p) {
      if (this->proposers[p].alive) {
        this->Detect(p);
        this->proposers[p].failover->Tick(this->now);
        for (const FailoverAction& action : this->proposers[p].failover->TakeActions()) {
          this->Perform(p, action);
        }
      }
    }
    // Faults start at kFaultsEnd at the latest; each of them lasts for kFaultDuration.
    if (!after_faults && this->now >= kFaultsEnd + kFaultDuration) {
      after_faults = true;
      acknowledged_before = this->acknowledged.size();
    }
    const bool settled = this->platform_object.phase == GroupPhase::kServing &&
                         (this->platform_object.term > 1 || !this->NeedsPromotion()) &&
                         this->proposers[1].failover->Step() == FailoverStep::kIdle;
    if (after_faults && settled && this->acknowledged.size() > acknowledged_before + 10) {
      result.completed = true;
      result.completed_at = this->now;
      break;
    }
  }
  const int primary = this->IndexOf(this->platform_object.primary);
  std::set<uint64_t> kept;
  if (primary >= 0) {
    for (const Entry& entry : this->endpoints[primary].log) {
      kept.insert(entry.id);
    }
  }
  result.acknowledged = this->acknowledged.size();
  for (const uint64_t id : this->acknowledged) {
    result.lost += kept.contains(id) ? 0 : 1;
  }
  for (const auto& entry : this->confirmed_by) {
    result.terms_with_two_primaries += entry.second.size() > 1 ? 1 : 0;
  }
  return result;
}

}  // namespace poplarmoor
