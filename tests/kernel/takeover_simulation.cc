#include "tests/kernel/takeover_simulation.h"

#include <algorithm>
#include <utility>

namespace poplarmoor {

namespace {

constexpr size_t kFirstEntries = 20;  // Entries in the logs at the start.
constexpr Duration kReplicationInterval = 20ms;
constexpr Duration kHeartbeatInterval = 20ms;
// An endpoint whose heartbeats do not arrive for this time loses its registry entry.
constexpr Duration kRegistrySilence = 1500ms;
constexpr Duration kPromotionTimeout = 1s;
// A daemon cannot ask the candidate for its status later than this time before it decides to send
// an order.
constexpr Duration kStatusAge = 20ms;
constexpr TimePoint kFirstFault{300ms};
constexpr TimePoint kEnd{6s};
// Orders that are carried out late, and takeovers after the death of a holder, end by this time.
constexpr TimePoint kLateEnd{14s};

std::string Text(LogPosition position) {
  return std::to_string(position.term) + "." + std::to_string(position.index);
}

}  // namespace

TakeoverSimulation::TakeoverSimulation(uint64_t seed,
                                       const TakeoverDefects& defects,
                                       const std::optional<TakeoverScenario>& scenario)
    : defects(defects), random(seed), group(&this->clock, &this->network, &this->random) {
  this->outcome.scenario = scenario ? *scenario : TakeoverScenario::Choose(&this->random);
  const size_t replicas = 2 + (this->Chance(25) ? 1 : 0);
  for (size_t i = 0; i <= replicas; ++i) {
    SimulatedGroup::Endpoint* endpoint = this->group.Add(std::vector<uint32_t>(kFirstEntries, 1));
    this->store.registry[endpoint->id] = {};
    this->store.claim.members.push_back(endpoint->id);
  }
  this->store.Put(this->store.claim, 0);
  for (int i = 0; i < 4; ++i) {
    this->daemons.push_back(std::make_unique<SimulatedDaemon>(this, i));
  }
  this->promotion_time = this->Between(700ms, 1300ms);
  this->fault_start = kFirstFault + this->Between(0ms, 100ms);
  this->fault_end = this->fault_start + this->Between(400ms, 5s);
}

SimulatedOutcome TakeoverSimulation::Run() {
  for (const auto& daemon : this->daemons) {
    daemon->Start();
  }
  this->ScheduleFaults();
  this->RunReplication();
  this->RunHeartbeats();
  const bool is_late = this->Scenario().Has(ExtraFault::kLatePromotions) ||
                       this->Scenario().Has(ExtraFault::kLateOrders) ||
                       this->Scenario().Has(ExtraFault::kStoreFaults) ||
                       this->Scenario().Has(ExtraFault::kHolderFaults);
  this->clock.RunUntil(is_late ? kLateEnd : kEnd);
  const bool has_ended = this->outcome.violation.empty() && !this->outcome.lost_candidate;
  if (has_ended && this->outcome.promotions > 0 && this->LeaderKeepsLog()) {
    this->CheckLeader();
  }
  return std::move(this->outcome);
}

Duration TakeoverSimulation::Between(Duration low, Duration high) {
  return low + RandomDuration(&this->random, high - low);
}

void TakeoverSimulation::Trace(const std::string& text) {
  if (this->outcome.trace.size() < 200) {
    this->outcome.trace.push_back(std::to_string(ToMillis(this->clock.Now().time_since_epoch())) +
                                  " ms: " + text);
  }
}

void TakeoverSimulation::RunReplication() {
  this->group.Replicate();
  this->clock.After(kReplicationInterval, [this] { this->RunReplication(); });
}

void TakeoverSimulation::RunHeartbeats() {
  for (const auto& endpoint : this->group.Endpoints()) {
    const bool arrives =
        endpoint->running &&
        this->network.Connects(endpoint->node, SimulatedNetwork::kStore, this->clock.Now());
    TimePoint& last = this->last_heartbeat[endpoint->id];
    if (arrives) {
      last = this->clock.Now();
      this->store.registry[endpoint->id] = {endpoint->leaving};
    } else if (endpoint->gone || this->clock.Now() - last > kRegistrySilence) {
      this->store.registry.erase(endpoint->id);
    }
  }
  this->clock.After(kHeartbeatInterval, [this] { this->RunHeartbeats(); });
}

// --- Checks ---

void TakeoverSimulation::Report(const AcknowledgedCommit& commit, const std::string& promoted) {
  this->outcome.violation = "commit " + Text(commit.entry) + ", acknowledged by d" +
                            std::to_string(commit.daemon) + " at " +
                            std::to_string(ToMillis(commit.time.time_since_epoch())) +
                            " ms, is not in the log of " + promoted;
  this->Trace("VIOLATION: " + this->outcome.violation);
  this->clock.Stop();
}

bool TakeoverSimulation::IsMissing(LogPosition entry) const {
  const bool promoted =
      this->promoted_log.size() >= entry.index && this->promoted_log[entry.index - 1] == entry.term;
  // A commit whose copies were all lost before the promotion cannot be in the promoted log.
  return !promoted && !this->group.IsDestroyed(entry);
}

bool TakeoverSimulation::LeaderKeepsLog() const {
  return this->group.Leader()->log.size() >= this->promoted_log.size();
}

void TakeoverSimulation::CheckLeader() {
  const SimulatedGroup::Endpoint& leader = *this->group.Leader();
  for (const AcknowledgedCommit& commit : this->acknowledged) {
    if (!leader.Has(commit.entry) && !this->group.IsDestroyed(commit.entry)) {
      this->Report(commit, leader.id + " at the end");
      return;
    }
  }
}

void TakeoverSimulation::OnAcknowledged(int daemon, LogPosition entry) {
  const AcknowledgedCommit commit{entry, this->clock.Now(), daemon};
  this->acknowledged.push_back(commit);
  ++this->outcome.acknowledged;
  // A commit of a deposed primary that is acknowledged after the promotion. If the promoted
  // endpoint is gone or has lost its log since, the next promotion shows whether the commit is
  // kept.
  if (entry.term < this->promoted_term && this->IsMissing(entry) && this->LeaderKeepsLog()) {
    this->Report(commit, "the present primary");
  }
}

void TakeoverSimulation::OnHolderStep(SimulatedProcess* process) {
  if (!this->Scenario().Has(ExtraFault::kHolderFaults) || this->holder_faults >= 2 ||
      !this->Chance(4)) {
    return;
  }
  ++this->holder_faults;
  if (this->Chance(50)) {
    process->alive = false;
    this->Trace("the holder dies");
  } else {
    process->frozen_until = this->clock.Now() + this->Between(500ms, 6s);
    this->Trace("the holder freezes");
  }
}

// --- The platform's promotions ---

void TakeoverSimulation::Promote(int daemon,
                                 const std::string& endpoint,
                                 uint64_t token,
                                 TimePoint decided,
                                 std::shared_ptr<SimulatedReply<SimulatedPromotion>> reply) {
  this->clock.After(kPromotionTimeout, [reply] { reply->Complete(SimulatedPromotion::kUnknown); });
  const int node = SimulatedNetwork::kFirstDaemon + daemon;
  const auto connects = [this, node] {
    return this->network.Connects(node, SimulatedNetwork::kPlatform, this->clock.Now());
  };
  if (!connects()) {
    return;
  }
  const TimePoint known_until = decided - kStatusAge;
  if (this->Scenario().Has(ExtraFault::kLatePromotions) && this->Chance(40)) {
    const size_t fate = RandomBelow(&this->random, 5);
    if (fate > 0) {  // Otherwise the call is lost.
      const Duration delay = fate == 1 ? this->Between(3ms, 20ms) : this->Between(2s, 12s);
      this->clock.After(delay, [=, this] { this->CarryOut(endpoint, token, known_until); });
    }
    return;
  }
  const Duration delay = this->Chance(10) ? this->Between(20ms, 800ms) : this->Between(3ms, 20ms);
  this->clock.After(delay, [=, this] {
    if (!connects()) {
      return;
    }
    const bool accepted = this->CarryOut(endpoint, token, known_until);
    this->clock.After(this->Between(1ms, 10ms), [=] {
      if (connects()) {
        reply->Complete(accepted ? SimulatedPromotion::kAccepted : SimulatedPromotion::kRefused);
      }
    });
  });
}

bool TakeoverSimulation::CarryOut(const std::string& id, uint64_t token, TimePoint known_until) {
  SimulatedGroup::Endpoint* endpoint = this->group.Find(id);
  const std::string order = "order to promote " + id + ", token " + std::to_string(token);
  if (token < this->seen_token) {
    this->Trace(order + ", refused: its token is old");
    return false;
  }
  if (this->Scenario().Has(ExtraFault::kRefusedOrders) && endpoint->running && this->Chance(35)) {
    this->group.Crash(endpoint);
    this->clock.After(this->Between(20ms, 500ms),
                      [=, this] { this->group.Restart(endpoint, true); });
  }
  // The pages do not say whether a token counts as seen if the server is not running.
  if (!endpoint->running) {
    this->seen_token = this->Chance(50) ? token : this->seen_token;
    this->Trace(order + ", refused: it is not running");
    return false;
  }
  this->seen_token = token;
  if (endpoint->primary) {
    this->Trace(order + ", which leads already");
    return true;
  }
  this->Trace(order + ", carried out");
  const int incarnation = endpoint->incarnation;
  this->clock.After(this->promotion_time,
                    [=, this] { this->TakeEffect(endpoint, incarnation, known_until); });
  return true;
}

void TakeoverSimulation::TakeEffect(SimulatedGroup::Endpoint* endpoint,
                                    int incarnation,
                                    TimePoint known_until) {
  // The order named the server that was running when the order was carried out.
  if (!endpoint->running || endpoint->incarnation != incarnation || endpoint->primary) {
    return;
  }
  if (endpoint->log_lost && *endpoint->log_lost >= known_until) {
    this->Trace(endpoint->id + " has lost its log since its promotion was ordered");
    this->outcome.lost_candidate = true;
    this->clock.Stop();
    return;
  }
  this->group.Promote(endpoint);
  ++this->outcome.promotions;
  this->promoted_log = endpoint->log;
  this->promoted_term = endpoint->term;
  this->Trace(endpoint->id + " leads term " + std::to_string(endpoint->term) + " with " +
              Text(endpoint->End()));
  for (const AcknowledgedCommit& commit : this->acknowledged) {
    if (this->IsMissing(commit.entry)) {
      this->Report(commit, endpoint->id);
      return;
    }
  }
}

}  // namespace poplarmoor
