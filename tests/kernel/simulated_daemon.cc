#include "tests/kernel/simulated_daemon.h"

#include <algorithm>
#include <utility>

#include "kernel/takeover_members.h"

namespace poplarmoor {

namespace {

constexpr Duration kMinHop = 300us;
constexpr Duration kHopJitter = 2200us;
constexpr Duration kWriteTimeout = 3s;
constexpr Duration kCheckInterval = 50ms;
constexpr Duration kProbeAfterSilence = 150ms;
constexpr Duration kProbeTimeout = 250ms;
constexpr Duration kCommitStallTimeout = 500ms;
constexpr Duration kNewPrimaryGrace = 2s;
constexpr Duration kNoPrimaryTimeout = 1s;
constexpr Duration kSearchInterval = 100ms;
constexpr Duration kStatusTimeout = 250ms;
constexpr Duration kStoreTimeout = 500ms;
constexpr Duration kLateOrderWindow = 15s;
constexpr Duration kRecordDelay = 1s;
constexpr Duration kRecordStagger = 3s;
// Writes are sent until this time, beyond most orders that are carried out late.
constexpr TimePoint kWritesEnd{12s};

}  // namespace

SimulatedDaemon::SimulatedDaemon(SimulatedWorld* world, int number) : world(world), number(number) {
  this->ApplyRegistry(world->Store()->registry);
  this->ApplyClaim(world->Store()->claim);
  this->SetPrimary(world->Group()->Leader()->id, 1);
  this->primary_since = TimePoint(-10s);
}

void SimulatedDaemon::Start() {
  this->world->Clock()->Spawn(this->RunWrites(kWritesEnd));
  this->world->Clock()->Spawn(this->RunSync());
  this->world->Clock()->Spawn(this->RunMonitor());
}

SimulatedClock::Sleeper SimulatedDaemon::Sleep(Duration delay) {
  return this->world->Clock()->Sleep(delay, &this->process);
}

Duration SimulatedDaemon::Between(Duration low, Duration high) {
  return low + RandomDuration(this->world->Random(), high - low);
}

bool SimulatedDaemon::Chance(size_t percent) {
  return RandomBelow(this->world->Random(), 100) < percent;
}

void SimulatedDaemon::Trace(const std::string& text) {
  this->world->Trace("d" + std::to_string(this->number) + " " + text);
}

// --- Statements ---

SimulatedDaemon::Task SimulatedDaemon::RunWrites(TimePoint until) {
  while (this->Now() < until) {
    co_await this->Sleep(this->Between(20ms, 150ms));
    if (!this->primary.empty()) {
      this->Write();
    }
  }
  co_return true;
}

void SimulatedDaemon::Write() {
  SimulatedGroup::Endpoint* endpoint = this->world->Group()->Find(this->primary);
  const uint64_t write = this->next_write++;
  this->commits.emplace(write, this->Now());
  SimulatedClock* clock = this->world->Clock();
  clock->After(this->Between(kMinHop, kHopJitter), [=, this] {
    const auto connects = [=, this] {
      return this->world->Network()->Connects(this->Node(), endpoint->node, clock->Now());
    };
    if (!endpoint->running || !connects()) {
      return;
    }
    const int incarnation = endpoint->incarnation;
    this->world->Group()->Write(endpoint, [=, this](const SimulatedCommit& commit) {
      clock->After(
          this->Between(kMinHop, kHopJitter),
          [=, this] {
            if (connects() && endpoint->incarnation == incarnation) {
              this->OnCommit(write, endpoint->id, commit);
            }
          },
          &this->process);
    });
  });
}

void SimulatedDaemon::OnCommit(uint64_t write,
                               const std::string& endpoint,
                               const SimulatedCommit& commit) {
  const bool waits = this->commits.erase(write) > 0;
  if (commit.read_only) {
    if (endpoint == this->primary) {
      this->ClearPrimary();
    }
    return;
  }
  this->newest = std::max(this->newest, commit.end);
  this->last_answer = endpoint == this->primary ? this->Now() : this->last_answer;
  if (!waits) {
    return;
  }
  if (this->world->Defects().acknowledges_at_once) {
    this->world->OnAcknowledged(this->number, commit.entry);
    return;
  }
  // The pages leave open whether the answer names the commit or the end of the log.
  const LogPosition position = this->Chance(50) ? commit.entry : commit.end;
  this->world->Clock()->Spawn(
      this->VerifyCommit(endpoint, commit.entry, position, this->Between(500ms, 3s)));
}

// --- Copies of the store ---

SimulatedDaemon::Task SimulatedDaemon::RunSync() {
  for (;;) {
    // Some copies are old: a daemon that does not watch the store asks only now and then.
    co_await this->Sleep(this->Chance(10) ? this->Between(0ms, 1s) : this->Between(10ms, 100ms));
    const auto connects = [this] {
      return this->world->Network()->Connects(this->Node(), SimulatedNetwork::kStore, this->Now());
    };
    if (!connects()) {
      continue;
    }
    const TimePoint copied = this->Now();
    const SimulatedStore copy = *this->world->Store();
    co_await this->Sleep(this->Between(1ms, 20ms));
    if (connects()) {
      this->ApplyRegistry(copy.registry);
      this->ApplyClaim(copy.claim);
      this->NoteClaimVerified(copied);
    }
  }
}

void SimulatedDaemon::ApplyRegistry(const std::map<std::string, SimulatedEntry>& registry) {
  for (auto& [id, member] : this->members) {
    member.departed = !registry.contains(id);
  }
  for (const auto& [id, entry] : registry) {
    this->members[id].departed = false;
    this->members[id].leaving = entry.leaving;
  }
}

void SimulatedDaemon::ApplyClaim(const SimulatedClaim& newer) {
  if (newer.revision <= this->claim.revision) {
    return;
  }
  for (const std::string& id : newer.members) {
    if (!this->members.contains(id)) {
      this->members[id].departed = true;
    }
  }
  const bool same_takeover = newer.nonce == this->claim.nonce && newer.phase == this->claim.phase;
  const bool is_new_resume = newer.resume_pending && !this->claim.resume_pending;
  this->claim = newer;
  if (same_takeover) {
    return;
  }
  if (newer.phase == SimulatedPhase::kResuming || is_new_resume) {
    this->resume_pending_until = this->Now() + kLateOrderWindow;
  } else if (newer.phase == SimulatedPhase::kAbandoned) {
    this->resume_pending_until = {};
  }
  this->claim_seen = this->Now();
}

SimulatedTask<std::optional<uint64_t>> SimulatedDaemon::Put(SimulatedClaim claim,
                                                            uint64_t expected) {
  SimulatedClock* clock = this->world->Clock();
  const auto reply =
      std::make_shared<SimulatedReply<std::optional<uint64_t>>>(clock, &this->process);
  const auto connects = [this, clock] {
    return this->world->Network()->Connects(this->Node(), SimulatedNetwork::kStore, clock->Now());
  };
  clock->After(kStoreTimeout, [reply] { reply->Complete(std::nullopt); });
  const bool loses_answer =
      this->world->Scenario().Has(ExtraFault::kStoreFaults) && this->Chance(20);
  const Duration delay =
      loses_answer && this->Chance(50) ? this->Between(300ms, 4s) : this->Between(2ms, 15ms);
  const bool sent = connects();
  clock->After(delay, [=, this] {
    if (!sent || (!loses_answer && !connects())) {
      return;
    }
    const uint64_t revision = this->world->Store()->Put(claim, expected);
    if (!loses_answer) {
      clock->After(this->Between(1ms, 10ms), [=] {
        if (connects()) {
          reply->Complete(revision);
        }
      });
    }
  });
  const auto result = co_await *reply;
  co_return result;
}

SimulatedTask<uint64_t> SimulatedDaemon::StoreClaim(SimulatedClaim claim, uint64_t expected) {
  const auto answer = co_await this->Put(claim, expected);
  if (answer && *answer != 0) {
    co_return *answer;
  }
  // Another daemon stored its claim first, or the answer was lost; the stored claim shows which.
  co_await this->Sleep(this->Between(2ms, 15ms));
  if (!this->world->Network()->Connects(this->Node(), SimulatedNetwork::kStore, this->Now())) {
    co_return 0;
  }
  const SimulatedClaim stored = this->world->Store()->claim;
  co_await this->Sleep(this->Between(1ms, 10ms));
  const bool has_same_orders = std::equal(
      stored.ordered.begin(), stored.ordered.end(), claim.ordered.begin(), claim.ordered.end(),
      [](const auto& one, const auto& other) { return one.endpoint == other.endpoint; });
  if (stored.holder == claim.holder && stored.nonce == claim.nonce && stored.phase == claim.phase &&
      stored.members == claim.members && has_same_orders) {
    co_return stored.revision;
  }
  this->ApplyClaim(stored);
  co_return 0;
}

SimulatedDaemon::Task SimulatedDaemon::RecordMembers() {
  SimulatedClaim record = this->claim;
  std::map<std::string, bool> known;
  for (const auto& [id, member] : this->members) {
    known.emplace(id, member.departed);
  }
  const std::set<std::string> recorded(record.members.begin(), record.members.end());
  const std::set<std::string> wanted = MembersToRecord(recorded, known);
  if (wanted == recorded) {
    this->record_due.reset();
  } else if (!this->record_due) {
    this->record_due = this->Now() + kRecordDelay + this->number * kRecordStagger;
  } else if (this->Now() >= *this->record_due) {
    this->record_due.reset();
    record.members.assign(wanted.begin(), wanted.end());
    const uint64_t expected = record.revision;
    record.revision = co_await this->StoreClaim(record, expected);
    if (record.revision != 0) {
      this->Trace("records " + std::to_string(wanted.size()) + " members");
      this->ApplyClaim(record);
    }
  }
  this->recording = false;
  co_return true;
}

// --- Monitoring ---

void SimulatedDaemon::SetPrimary(const std::string& endpoint, uint64_t term) {
  if (term < this->term) {
    return;
  }
  if (this->primary != endpoint) {
    this->primary_since = this->Now();
  }
  this->primary = this->old_primary = endpoint;
  this->term = term;
  this->last_answer = this->Now();
  this->primary_down = false;
}

void SimulatedDaemon::ClearPrimary() {
  this->primary.clear();
}

SimulatedDaemon::Task SimulatedDaemon::RunMonitor() {
  for (;;) {
    co_await this->Sleep(kCheckInterval);
    if (this->primary.empty()) {
      this->record_due.reset();
      if (!this->finding_primary) {
        this->finding_primary = true;
        this->world->Clock()->Spawn(this->FindPrimary());
      }
      continue;
    }
    if (!this->probing && this->Now() - this->last_answer > kProbeAfterSilence) {
      this->probing = true;
      this->world->Clock()->Spawn(this->ProbePrimary());
    }
    if (this->taking_over || this->HasTakeoverInProgress() || this->IsClaimed()) {
      this->record_due.reset();
    } else if (!this->recording) {
      this->recording = true;
      this->world->Clock()->Spawn(this->RecordMembers());
    }
    if (this->taking_over) {
      continue;
    }
    const auto member = this->members.find(this->primary);
    TimePoint oldest = this->Now();
    std::erase_if(this->commits,
                  [this](const auto& write) { return this->Now() - write.second > kWriteTimeout; });
    for (const auto& [write, sent] : this->commits) {
      oldest = std::min(oldest, sent);
    }
    if (member != this->members.end() && member->second.leaving) {
      this->StartTakeover(TakeoverReason::kPrimaryLeaving);
    } else if (this->HasTakeoverInProgress() && !this->IsClaimed()) {
      this->StartTakeover(TakeoverReason::kUnfinished);
    } else if (this->Now() - oldest > kCommitStallTimeout &&
               this->Now() - this->primary_since > kNewPrimaryGrace) {
      this->StartTakeover(TakeoverReason::kReplicationStalled);
    }
  }
}

SimulatedDaemon::Task SimulatedDaemon::ProbePrimary() {
  const std::string endpoint = this->primary;
  for (int attempt = 0; attempt < 2; ++attempt) {
    const auto reply = this->Send(SimulatedOrder::kStatus, 0, endpoint, kProbeTimeout);
    const Status status = co_await *reply;
    if (!status.report.answered) {
      continue;
    }
    this->probing = false;
    if (endpoint == this->primary) {
      this->last_answer = this->Now();
      if (!status.report.is_primary) {
        this->ClearPrimary();
      }
    }
    co_return true;
  }
  this->probing = false;
  if (endpoint != this->primary) {
    co_return false;
  }
  this->primary_down = true;
  this->ClearPrimary();
  if (!this->taking_over) {
    this->StartTakeover(TakeoverReason::kPrimaryLost);
  }
  co_return false;
}

SimulatedDaemon::Task SimulatedDaemon::FindPrimary() {
  const TimePoint started = this->Now();
  while (this->primary.empty()) {
    const std::vector<MemberStatus> statuses = co_await this->CollectStatuses(kStatusTimeout);
    const MemberStatus* found = nullptr;
    bool former_answers = false;
    for (const MemberStatus& status : statuses) {
      if (status.reachable && status.is_primary && !status.departed &&
          (found == nullptr || status.term > found->term)) {
        found = &status;
      }
      former_answers |= status.id == this->old_primary && status.reachable && !status.is_primary;
    }
    if (found != nullptr && found->term >= this->term) {
      this->SetPrimary(found->id, found->term);
      break;
    }
    const bool sees_outage = former_answers || this->primary_down;
    if (sees_outage && !this->taking_over && !this->IsClaimed() &&
        this->Now() - started > kNoPrimaryTimeout) {
      this->StartTakeover(TakeoverReason::kPrimaryLost);
    }
    co_await this->Sleep(this->Between(kSearchInterval, 2 * kSearchInterval));
  }
  this->finding_primary = false;
  co_return true;
}

std::shared_ptr<SimulatedReply<SimulatedDaemon::Status>> SimulatedDaemon::Send(
    SimulatedOrder order,
    uint64_t term,
    const std::string& endpoint,
    Duration timeout) {
  SimulatedClock* clock = this->world->Clock();
  const auto reply = std::make_shared<SimulatedReply<Status>>(clock, &this->process);
  SimulatedGroup::Endpoint* target = this->world->Group()->Find(endpoint);
  const auto connects = [this, clock, target] {
    return this->world->Network()->Connects(this->Node(), target->node, clock->Now());
  };
  if (!connects()) {
    clock->After(timeout, [reply] { reply->Complete({}); });
    return reply;
  }
  const int incarnation = target->incarnation;
  Connection& connection = this->connections[endpoint];
  // A daemon also opens a new connection while the others are in use.
  if (connection.incarnation != incarnation || this->Chance(2)) {
    connection = {incarnation, this->Now() + kMinHop + kHopJitter};
  }
  const TimePoint opened = connection.opened;
  clock->After(timeout, [reply] { reply->Complete({}); });
  const bool loses_answer = order != SimulatedOrder::kStatus &&
                            this->world->Scenario().Has(ExtraFault::kLateOrders) &&
                            this->Chance(25);
  const Duration delay =
      loses_answer ? this->Between(10ms, 10s) : this->Between(kMinHop, kHopJitter);
  clock->After(delay, [=, this] {
    if (!target->running) {
      clock->After(kMinHop, [reply] { reply->Complete({}); });
      return;
    }
    // A message of an earlier connection does not reach an endpoint that has restarted.
    if (target->incarnation != incarnation || (!loses_answer && !connects())) {
      return;
    }
    const SimulatedReport report = this->world->Group()->Execute(order, term, target);
    if (loses_answer) {
      return;
    }
    clock->After(this->Between(kMinHop, kHopJitter), [=] {
      if (connects()) {
        reply->Complete({report, opened});
      }
    });
  });
  return reply;
}

SimulatedTask<std::vector<MemberStatus>> SimulatedDaemon::CollectStatuses(Duration timeout) {
  std::vector<MemberStatus> statuses;
  std::vector<std::shared_ptr<SimulatedReply<Status>>> replies;
  for (const auto& [id, member] : this->members) {
    MemberStatus status;
    status.id = id;
    status.leaving = member.leaving;
    status.departed = member.departed;
    statuses.push_back(status);
    const bool down = member.departed || (id == this->old_primary && this->primary_down);
    replies.push_back(this->Send(SimulatedOrder::kStatus, 0, id, down ? 80ms : timeout));
  }
  for (size_t index = 0; index < replies.size(); ++index) {
    const Status answer = co_await *replies[index];
    const SimulatedReport& report = answer.report;
    MemberStatus& status = statuses[index];
    status.reachable = report.answered;
    status.is_primary = report.is_primary;
    status.term = report.term;
    status.received = report.received;
    status.active_pause_term = report.active_pause_term;
  }
  co_return statuses;
}

}  // namespace poplarmoor
