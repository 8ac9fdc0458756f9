#include <algorithm>

#include "tests/kernel/simulated_daemon.h"

// The verification of commits by a simulated daemon; compare session/commit_verifier.cc.

namespace poplarmoor {

namespace {

constexpr Duration kStatusTimeout = 250ms;
constexpr Duration kFirstMemberTime = 40ms;
constexpr Duration kMinStatusPause = 5ms;
constexpr Duration kMaxStatusPause = 160ms;
constexpr Duration kCheckInterval = 10ms;
constexpr Duration kClaimReadInterval = 500ms;
constexpr Duration kUsualAnswerTime = 5ms;

}  // namespace

std::vector<std::string> SimulatedDaemon::PendingCandidates(const std::string& primary,
                                                            uint64_t term) const {
  return CandidatesOf(PendingPromotions(this->claim.ordered, primary, term), primary);
}

bool SimulatedDaemon::HasOrderedPromotion() const {
  return !this->PendingCandidates(this->old_primary, this->term).empty();
}

bool SimulatedDaemon::HasTakeoverInProgress() const {
  return this->claim.phase == SimulatedPhase::kClaimed || this->HasOrderedPromotion();
}

void SimulatedDaemon::NoteClaimVerified(TimePoint verified) {
  if (!this->HasTakeoverInProgress()) {
    this->calm_at = std::max(this->calm_at, std::optional(verified));
  }
}

CommitView SimulatedDaemon::MakeCommitView(const std::string& primary, LogPosition position) {
  CommitView view;
  view.primary = primary;
  view.position = position;
  view.replicas = 1;
  view.candidates = this->PendingCandidates(primary, position.term);
  view.has_record = !this->claim.members.empty();
  const auto& recorded = this->claim.members;
  for (const auto& [id, member] : this->members) {
    const bool is_recorded =
        recorded.empty() || std::find(recorded.begin(), recorded.end(), id) != recorded.end();
    if (!is_recorded || id == primary) {
      continue;
    }
    CommitWitness witness;
    witness.id = id;
    witness.answered = member.received.has_value();
    if (member.received) {
      witness.received = *member.received;
      witness.continuous =
          (!member.departed && this->calm_at && member.connected_since < *this->calm_at) ||
          this->world->Defects().ignores_continuity;
    }
    view.witnesses.push_back(std::move(witness));
  }
  return view;
}

SimulatedDaemon::Task SimulatedDaemon::VerifyCommit(std::string primary,
                                                    LogPosition entry,
                                                    LogPosition position,
                                                    Duration limit) {
  const TimePoint started = this->Now();
  this->term = std::max(this->term, position.term);
  CommitVerdict verdict = CommitVerdict::kUnknown;
  for (;;) {
    const CommitView view = this->MakeCommitView(primary, position);
    verdict = JudgeCommit(view);
    const Duration elapsed = this->Now() - started;
    if (verdict == CommitVerdict::kUnknown && elapsed >= kFirstMemberTime &&
        this->old_primary != primary) {
      verdict = CommitVerdict::kSuperseded;
    }
    if (verdict != CommitVerdict::kUnknown || elapsed >= limit) {
      break;
    }
    this->AskMembers(view, elapsed);
    // An answer notifies the waiting commits.
    co_await this->Sleep(
        std::min(limit - elapsed, this->Between(kUsualAnswerTime / 2, kCheckInterval)));
  }
  if (verdict == CommitVerdict::kSafe) {
    this->world->OnAcknowledged(this->number, entry);
  } else {
    this->world->OnInDoubt();
  }
  co_return verdict == CommitVerdict::kSafe;
}

void SimulatedDaemon::AskMembers(const CommitView& view, Duration elapsed) {
  const bool needs_all =
      elapsed >= kFirstMemberTime ||
      std::any_of(view.witnesses.begin(), view.witnesses.end(), [&view](const auto& witness) {
        return witness.HasReceived(view.position) && !witness.continuous;
      });
  std::vector<std::string> asked;
  std::vector<std::string> others;
  bool asking = false;
  for (const CommitWitness& witness : view.witnesses) {
    const Member& member = this->members.at(witness.id);
    const bool is_candidate = std::find(view.candidates.begin(), view.candidates.end(),
                                        witness.id) != view.candidates.end();
    asking |= member.asking_status;
    if (member.asking_status || this->Now() < member.next_status ||
        witness.HasReceived(view.position)) {
      continue;
    }
    if (needs_all || is_candidate) {
      asked.push_back(witness.id);
    } else if (!member.departed) {
      others.push_back(witness.id);
    }
  }
  if (!needs_all && !asking && view.candidates.empty() && !others.empty()) {
    asked.push_back(others[RandomBelow(this->world->Random(), others.size())]);
  }
  for (const std::string& endpoint : asked) {
    this->members.at(endpoint).asking_status = true;
    this->world->Clock()->Spawn(this->AskMember(endpoint));
  }
  if (needs_all && elapsed >= kFirstMemberTime && !this->reading_claim &&
      this->Now() >= this->next_claim_read) {
    this->reading_claim = true;
    this->next_claim_read = this->Now() + kClaimReadInterval;
    this->world->Clock()->Spawn(this->ReadClaim());
  }
}

SimulatedDaemon::Task SimulatedDaemon::AskMember(std::string endpoint) {
  const auto reply = this->Send(SimulatedOrder::kStatus, 0, endpoint, kStatusTimeout);
  const Status answer = co_await *reply;
  Member& member = this->members.at(endpoint);
  if (answer.report.answered) {
    const bool has_grown = !member.received || answer.report.received != *member.received;
    member.status_pause = has_grown ? Duration{} : member.status_pause;
    member.received = answer.report.received;
    member.connected_since = answer.connected_since;
  }
  member.next_status = this->Now() + member.status_pause;
  member.status_pause = std::clamp(member.status_pause * 2, kMinStatusPause, kMaxStatusPause);
  member.asking_status = false;
  co_return true;
}

SimulatedDaemon::Task SimulatedDaemon::ReadClaim() {
  const auto connects = [this] {
    return this->world->Network()->Connects(this->Node(), SimulatedNetwork::kStore, this->Now());
  };
  const TimePoint sent = this->Now();
  co_await this->Sleep(this->Between(1ms, 10ms));
  const bool arrived = connects();
  const SimulatedClaim stored = this->world->Store()->claim;
  co_await this->Sleep(this->Between(1ms, 10ms));
  if (arrived && connects()) {
    this->ApplyClaim(stored);
    this->NoteClaimVerified(sent);
  }
  this->reading_claim = false;
  co_return true;
}

}  // namespace poplarmoor
