#include "tests/kernel/takeover_simulation.h"

// The faults of a simulated takeover.

namespace poplarmoor {

SimulatedGroup::Endpoint* TakeoverSimulation::RandomReplica() {
  const size_t replicas = this->store.claim.members.size() - 1;
  return this->group.Endpoints()[1 + RandomBelow(&this->random, replicas)].get();
}

void TakeoverSimulation::ScheduleFaults() {
  const auto at = [this](Duration delay, std::function<void()> action) {
    this->clock.After(this->fault_start - this->clock.Now() + delay, std::move(action));
  };
  this->SchedulePrimaryFault();
  if (this->Scenario().Has(ExtraFault::kJoins)) {
    for (size_t joins = 1 + RandomBelow(&this->random, 2); joins > 0; --joins) {
      at(this->Between(0ms, 2s), [this] {
        const auto* joined = this->group.Add({});
        this->Trace(joined->id + " joins");
      });
    }
  }
  if (this->Scenario().Has(ExtraFault::kLeaves)) {
    SimulatedGroup::Endpoint* endpoint = this->RandomReplica();
    const Duration start = this->Between(-200ms, 1500ms);
    at(start, [=, this] {
      endpoint->leaving = true;
      this->Trace(endpoint->id + " announces that it leaves");
    });
    at(start + this->Between(300ms, 2s), [=, this] {
      this->group.Remove(endpoint);
      this->Trace(endpoint->id + " is gone");
    });
  }
  if (this->Scenario().Has(ExtraFault::kRestarts)) {
    for (size_t restarts = 1 + RandomBelow(&this->random, 2); restarts > 0; --restarts) {
      this->ScheduleRestart(this->RandomReplica(), this->Between(0ms, 2500ms));
    }
  }
  if (this->Scenario().Has(ExtraFault::kStoreCuts)) {
    this->ScheduleStoreCut();
  }
  if (this->Scenario().Has(ExtraFault::kDeaf)) {
    SimulatedGroup::Endpoint* endpoint = this->RandomReplica();
    const Duration start = this->Chance(50) ? this->Between(-200ms, 1500ms) : this->Between(1s, 6s);
    at(start, [=, this] {
      endpoint->deaf = true;
      this->Trace(endpoint->id + " receives nothing");
    });
    at(start + this->Between(300ms, 3s), [=] { endpoint->deaf = false; });
  }
}

void TakeoverSimulation::ScheduleStoreCut() {
  SimulatedNetwork::Nodes some_daemons = 0;
  for (const auto& daemon : this->daemons) {
    some_daemons |= this->Chance(50) ? SimulatedNetwork::Node(daemon->Node()) : 0;
  }
  const TimePoint begin = this->fault_start + this->Between(-250ms, 2s);
  this->network.Cut(some_daemons, SimulatedNetwork::Node(SimulatedNetwork::kStore), begin,
                    begin + this->Between(500ms, 5s));
}

void TakeoverSimulation::ScheduleRestart(SimulatedGroup::Endpoint* endpoint, Duration start) {
  const bool keeps_log = this->Chance(50);
  const Duration begin = this->fault_start - this->clock.Now() + start;
  this->clock.After(begin, [=, this] {
    if (endpoint->running) {
      this->group.Crash(endpoint);
      this->Trace(endpoint->id + " stops");
    }
  });
  this->clock.After(begin + this->Between(50ms, 1s), [=, this] {
    if (!endpoint->running && !endpoint->gone) {
      this->group.Restart(endpoint, keeps_log);
      this->Trace(endpoint->id + (keeps_log ? " starts with its log" : " starts without its log"));
    }
  });
}

void TakeoverSimulation::SchedulePrimaryFault() {
  using Nodes = SimulatedNetwork::Nodes;
  SimulatedGroup::Endpoint* primary = this->group.Endpoints().front().get();
  const int first_joined = static_cast<int>(this->group.Endpoints().size());
  const Nodes primary_node = SimulatedNetwork::Node(primary->node);
  Nodes daemon_nodes = 0;
  for (const auto& daemon : this->daemons) {
    daemon_nodes |= SimulatedNetwork::Node(daemon->Node());
  }
  Nodes some_daemons = 0;
  for (const auto& daemon : this->daemons) {
    some_daemons |= this->Chance(50) ? SimulatedNetwork::Node(daemon->Node()) : 0;
  }
  // Replicas that join later are beside the primary more often than not.
  Nodes joined_beside = 0;
  for (int node = first_joined; node < SimulatedNetwork::kFirstDaemon; ++node) {
    joined_beside |= this->Chance(70) ? SimulatedNetwork::Node(node) : 0;
  }
  Nodes replicas = 0;
  for (int node = 1; node < first_joined; ++node) {
    replicas |= SimulatedNetwork::Node(node);
  }
  const Nodes endpoints = SimulatedNetwork::Node(SimulatedNetwork::kFirstDaemon) - 1;
  switch (this->Scenario().fault) {
    case PrimaryFault::kCutFromReplicas:
      this->network.Cut(primary_node, endpoints & ~primary_node & ~joined_beside, this->fault_start,
                        this->fault_end);
      break;
    case PrimaryFault::kCutFromDaemons:
      this->network.Cut(primary_node, some_daemons, this->fault_start, this->fault_end);
      break;
    case PrimaryFault::kSplit: {
      const Nodes replica_beside =
          this->Chance(20) ? SimulatedNetwork::Node(this->RandomReplica()->node) : 0;
      const Nodes beside = primary_node | some_daemons | joined_beside | replica_beside;
      this->network.Cut(beside, ~beside, this->fault_start, this->fault_end);
      break;
    }
    case PrimaryFault::kLeaves:
      this->clock.After(this->fault_start - this->clock.Now(), [=, this] {
        primary->leaving = true;
        this->Trace(primary->id + " announces that it leaves");
      });
      this->clock.After(this->fault_end + 1s - this->clock.Now(), [=, this] {
        this->group.Remove(primary);
        this->Trace(primary->id + " is gone");
      });
      break;
    case PrimaryFault::kCrash: {
      const bool keeps_log = this->Chance(80);
      this->clock.After(this->fault_start - this->clock.Now(), [=, this] {
        this->group.Crash(primary);
        this->Trace(primary->id + " crashes");
      });
      this->clock.After(this->fault_end - this->clock.Now(), [=, this] {
        this->group.Restart(primary, keeps_log);
        this->Trace(primary->id + (keeps_log ? " starts with its log" : " starts without its log"));
      });
      break;
    }
  }
  this->Trace(this->Scenario().Describe() + " at " +
              std::to_string(ToMillis(this->fault_start.time_since_epoch())) + " to " +
              std::to_string(ToMillis(this->fault_end.time_since_epoch())) + " ms");
}

}  // namespace poplarmoor
