#include <algorithm>
#include <utility>

#include "tests/kernel/simulated_daemon.h"

// The takeovers of a simulated daemon; compare session/takeover_controller_steps.cc.

namespace poplarmoor {

namespace {

constexpr Duration kClaimValidity = 2500ms;
constexpr Duration kClaimRetryDelay = 500ms;
constexpr Duration kTakeoverTimeout = 5s;
constexpr Duration kStatusRoundInterval = 30ms;
constexpr Duration kOrderTimeout = 300ms;
constexpr Duration kPromotionRetryDelay = 100ms;
constexpr Duration kCatchUpTimeout = 500ms;
constexpr Duration kPromotionPollInterval = 100ms;
constexpr Duration kMembershipCheckInterval = 10ms;
constexpr Duration kUnplannedJitter = 40ms;
constexpr Duration kPlannedJitter = 400ms;
constexpr uint32_t kSynchronousReplicas = 1;

constexpr Duration kCandidateTimeout = 500ms;

using Kind = TakeoverStep::Kind;

bool IsRecorded(const SimulatedClaim& claim, const std::string& id) {
  return std::find(claim.members.begin(), claim.members.end(), id) != claim.members.end();
}

}  // namespace

bool SimulatedDaemon::IsClaimed() {
  const bool in_progress = this->claim.phase == SimulatedPhase::kClaimed ||
                           this->claim.phase == SimulatedPhase::kOrdered;
  return in_progress && this->Now() - this->claim_seen < kClaimValidity;
}

bool SimulatedDaemon::IsHeld(const Takeover& takeover) const {
  return this->claim.nonce == takeover.held.nonce;
}

bool SimulatedDaemon::IsCurrent(const TakeoverView& view) const {
  return view.members.size() == this->members.size() &&
         std::all_of(view.members.begin(), view.members.end(), [this](const auto& status) {
           const auto member = this->members.find(status.id);
           return member != this->members.end() && member->second.departed == status.departed &&
                  member->second.leaving == status.leaving;
         });
}

void SimulatedDaemon::StartTakeover(TakeoverReason reason) {
  this->taking_over = true;
  this->world->Clock()->Spawn(this->RunTakeover(reason));
}

SimulatedDaemon::Task SimulatedDaemon::RunTakeover(TakeoverReason reason) {
  const bool planned =
      reason == TakeoverReason::kPrimaryLeaving || reason == TakeoverReason::kUnfinished;
  co_await this->Sleep(this->Between(0ms, planned ? kPlannedJitter : kUnplannedJitter));
  bool claimed = !this->IsClaimed();
  if (claimed) {
    claimed = co_await this->ClaimTakeover();
  }
  if (!claimed) {
    co_await this->Sleep(kClaimRetryDelay);
  }
  while (claimed) {
    const bool goes_on = co_await this->RunTakeoverSteps(reason);
    if (!goes_on) {
      break;
    }
    co_await this->Sleep(kPromotionRetryDelay);
    claimed = co_await this->ClaimTakeover();
  }
  this->taking_over = false;
  co_return claimed;
}

SimulatedDaemon::Task SimulatedDaemon::ClaimTakeover() {
  SimulatedClaim wanted;
  wanted.phase = SimulatedPhase::kClaimed;
  wanted.holder = this->number;
  wanted.nonce = (*this->world->Random())();
  if (!this->world->Defects().gives_up_orders) {
    wanted.ordered = this->claim.ordered;
  }
  if (!wanted.ordered.empty() && !this->HasOrderedPromotion()) {
    wanted.ordered.erase(wanted.ordered.begin(), wanted.ordered.end() - 1);
  }
  wanted.resume_pending = this->Now() < this->resume_pending_until;
  const bool has_record = !this->claim.members.empty();
  for (const auto& [id, member] : this->members) {
    if (!has_record || IsRecorded(this->claim, id)) {
      wanted.members.push_back(id);
    }
  }
  const uint64_t expected = this->claim.revision;
  wanted.revision = co_await this->StoreClaim(wanted, expected);
  if (wanted.revision == 0) {
    co_return false;
  }
  this->Trace("claims the takeover, token " + std::to_string(wanted.revision));
  this->ApplyClaim(wanted);
  co_return true;
}

SimulatedDaemon::Task SimulatedDaemon::RunTakeoverSteps(TakeoverReason reason) {
  const auto takeover = std::make_shared<Takeover>();
  takeover->held = this->claim;
  TakeoverView& view = takeover->view;
  view.reason = reason;
  view.old_primary = this->old_primary;
  view.synchronous_replicas = kSynchronousReplicas;
  const TimePoint deadline = this->Now() + kTakeoverTimeout;
  std::string last_cause;
  std::optional<TimePoint> behind_since;
  bool outdated = true;
  while (this->Now() < deadline && this->IsHeld(*takeover)) {
    this->world->OnHolderStep(&this->process);
    co_await this->Sleep({});
    if (outdated || !this->IsCurrent(view)) {
      view.members = co_await this->CollectStatuses(kOrderTimeout);
      outdated = false;
      uint64_t newest_term = this->term;
      for (MemberStatus& member : view.members) {
        newest_term = std::max(newest_term, member.term);
        member.recorded = IsRecorded(takeover->held, member.id);
        if (member.reachable && member.is_primary && member.id == view.old_primary) {
          this->term = std::max(this->term, member.term);
        }
      }
      view.ordered = PendingPromotions(takeover->held.ordered, view.old_primary, this->term);
      view.none_has_led |= NoneHasLed(view);
      view.pause_term = std::max(view.pause_term, newest_term + 1);
      if (!this->IsCurrent(view)) {
        continue;
      }
    }
    view.known_position = this->newest;
    view.resume_pending = this->Now() < this->resume_pending_until;
    view.catch_up_failed = behind_since && this->Now() - *behind_since > kCatchUpTimeout;
    const TakeoverStep step = NextTakeoverStep(view);
    if (!step.catching_up) {
      behind_since.reset();
    } else if (!behind_since) {
      behind_since = this->Now();
    }
    if (step.cause != last_cause) {
      last_cause = step.cause;
      this->Trace("step " + step.endpoint + ": " + step.cause);
    }
    if (step.kind == Kind::kAbandon) {
      break;
    }
    if (step.kind == Kind::kPromote) {
      const PromotionResult result = co_await this->Promote(takeover, step.endpoint);
      if (result == PromotionResult::kDone || result == PromotionResult::kRetry) {
        co_return result == PromotionResult::kRetry;
      }
      break;
    }
    if (step.kind == Kind::kPause) {
      takeover->paused.push_back(step.endpoint);
    }
    bool ordered = false;
    if (step.kind != Kind::kWait) {
      ordered = co_await this->OrderMember(step, &view);
    }
    if (!ordered) {
      co_await this->Sleep(kStatusRoundInterval);
      outdated = true;
    }
  }
  co_await this->AbandonTakeover(takeover);
  co_return false;
}

SimulatedDaemon::Task SimulatedDaemon::OrderMember(TakeoverStep step, TakeoverView* view) {
  const SimulatedOrder order =
      step.kind == Kind::kPause ? SimulatedOrder::kPause : SimulatedOrder::kStepDown;
  const auto reply = this->Send(order, view->pause_term, step.endpoint, kOrderTimeout);
  const Status answer = co_await *reply;
  if (!answer.report.answered) {
    this->Trace("has no answer to its order from " + step.endpoint);
    co_return false;
  }
  for (MemberStatus& member : view->members) {
    if (member.id == step.endpoint) {
      member.reachable = true;
      member.is_primary = answer.report.is_primary;
      member.term = answer.report.term;
      member.received = answer.report.received;
      member.active_pause_term = answer.report.active_pause_term;
    }
  }
  co_return true;
}

SimulatedDaemon::Task SimulatedDaemon::AbandonTakeover(std::shared_ptr<Takeover> takeover) {
  for (const MemberStatus& member : takeover->view.members) {
    if (member.active_pause_term != 0 && std::find(takeover->paused.begin(), takeover->paused.end(),
                                                   member.id) == takeover->paused.end()) {
      takeover->paused.push_back(member.id);
    }
  }
  this->Trace("abandons the takeover");
  if (!this->IsHeld(*takeover)) {
    co_return false;
  }
  if (this->HasOrderedPromotion() && !this->world->Defects().gives_up_orders) {
    co_return false;
  }
  const std::vector<OrderedPromotion> unchanged = this->claim.ordered;
  while (!takeover->paused.empty()) {
    const bool published = co_await this->PublishPhase(SimulatedPhase::kResuming, unchanged);
    if (published) {
      break;
    }
    if (!this->IsHeld(*takeover)) {
      co_return false;
    }
    co_await this->Sleep(kClaimRetryDelay);
  }
  bool all_resumed = true;
  for (const std::string& endpoint : takeover->paused) {
    this->world->OnHolderStep(&this->process);
    co_await this->Sleep({});
    const auto reply =
        this->Send(SimulatedOrder::kResume, takeover->view.pause_term, endpoint, kOrderTimeout);
    const Status answer = co_await *reply;
    this->Trace("resumes " + endpoint + (answer.report.answered ? "" : ", no answer"));
    all_resumed &= answer.report.answered;
  }
  if (all_resumed) {
    co_await this->PublishPhase(SimulatedPhase::kAbandoned, unchanged);
  }
  co_return true;
}

SimulatedDaemon::Task SimulatedDaemon::PublishPhase(SimulatedPhase phase,
                                                    std::vector<OrderedPromotion> ordered) {
  SimulatedClaim wanted = this->claim;
  wanted.phase = phase;
  wanted.ordered = std::move(ordered);
  wanted.resume_pending = phase == SimulatedPhase::kResuming ||
                          (wanted.resume_pending && phase != SimulatedPhase::kAbandoned);
  if (!wanted.ordered.empty() && !IsRecorded(wanted, wanted.ordered.back().endpoint) &&
      this->members.contains(wanted.ordered.back().endpoint)) {
    wanted.members.push_back(wanted.ordered.back().endpoint);
  }
  const uint64_t expected = wanted.revision;
  wanted.revision = co_await this->StoreClaim(wanted, expected);
  if (wanted.revision == 0) {
    co_return false;
  }
  this->ApplyClaim(wanted);
  co_return true;
}

SimulatedTask<SimulatedDaemon::PromotionResult> SimulatedDaemon::Promote(
    std::shared_ptr<Takeover> takeover,
    std::string endpoint) {
  takeover->promoting = takeover->guarding = true;
  this->world->Clock()->Spawn(this->GuardPromotion(takeover, endpoint));
  const PromotionResult result = co_await this->OrderPromotion(takeover, endpoint);
  takeover->promoting = false;
  while (takeover->guarding) {
    co_await this->Sleep(kMembershipCheckInterval);
  }
  co_return result;
}

SimulatedTask<SimulatedDaemon::PromotionResult> SimulatedDaemon::OrderPromotion(
    std::shared_ptr<Takeover> takeover,
    std::string endpoint) {
  std::vector<OrderedPromotion> ordered = takeover->held.ordered;
  if (ordered.empty() || ordered.back().endpoint != endpoint) {
    for (const MemberStatus& member : takeover->view.members) {
      if (member.id == endpoint) {
        ordered.push_back({endpoint, member.received, takeover->view.pause_term});
      }
    }
  }
  if (!this->world->Defects().orders_before_publishing) {
    const bool stored = co_await this->PublishPhase(SimulatedPhase::kOrdered, ordered);
    if (!stored) {
      co_return PromotionResult::kLost;
    }
  }
  bool outstanding = !takeover->view.ordered.empty();
  SimulatedPromotion outcome = SimulatedPromotion::kUnknown;
  while (this->IsHeld(*takeover)) {
    const bool has_log = co_await this->HasLog(ordered.back());
    if (!has_log) {
      break;
    }
    const TimePoint decided = this->Now();
    this->world->OnHolderStep(&this->process);
    co_await this->Sleep({});
    const auto reply =
        std::make_shared<SimulatedReply<SimulatedPromotion>>(this->world->Clock(), &this->process);
    this->world->Promote(this->number, endpoint, takeover->held.revision, decided, reply);
    outcome = co_await *reply;
    this->Trace("orders the promotion of " + endpoint + ", token " +
                std::to_string(takeover->held.revision) + ": " +
                std::string(kSimulatedPromotionNames.NameOf(outcome)));
    if (outcome != SimulatedPromotion::kUnknown) {
      break;
    }
    outstanding = true;
    co_await this->Sleep(kPromotionRetryDelay);
  }
  if (outcome == SimulatedPromotion::kAccepted) {
    co_await this->AwaitPromotion(endpoint);
    if (!takeover->view.ordered.empty()) {
      co_await this->ForgetEarlierOrders(takeover);
    }
    co_return PromotionResult::kDone;
  }
  if (!this->IsHeld(*takeover)) {
    co_return PromotionResult::kLost;
  }
  if (outstanding) {
    co_return PromotionResult::kRetry;
  }
  co_await this->PublishPhase(SimulatedPhase::kClaimed, takeover->held.ordered);
  co_return PromotionResult::kRefused;
}

SimulatedDaemon::Task SimulatedDaemon::HasLog(OrderedPromotion promotion) {
  const TimePoint deadline = this->Now() + kCandidateTimeout;
  do {
    const auto reply = this->Send(SimulatedOrder::kStatus, 0, promotion.endpoint, kOrderTimeout);
    const Status answer = co_await *reply;
    if (answer.report.answered) {
      co_return answer.report.received >= promotion.received;
    }
    co_await this->Sleep(kStatusRoundInterval);
  } while (this->Now() < deadline);
  co_return false;
}

SimulatedDaemon::Task SimulatedDaemon::AwaitPromotion(std::string endpoint) {
  const TimePoint started = this->Now();
  while (this->Now() - started < kClaimValidity) {
    const auto member = this->members.find(endpoint);
    if (member == this->members.end() || member->second.departed) {
      break;
    }
    const auto reply = this->Send(SimulatedOrder::kStatus, 0, endpoint, kOrderTimeout);
    const Status answer = co_await *reply;
    if (answer.report.is_primary) {
      this->SetPrimary(endpoint, answer.report.term);
      co_return true;
    }
    co_await this->Sleep(kPromotionPollInterval);
  }
  co_return false;
}

SimulatedDaemon::Task SimulatedDaemon::ForgetEarlierOrders(std::shared_ptr<Takeover> takeover) {
  if (this->claim.ordered.empty()) {
    co_return false;
  }
  const OrderedPromotion last = this->claim.ordered.back();
  co_await this->Sleep(kClaimValidity);
  if (this->IsHeld(*takeover) && this->old_primary == last.endpoint) {
    const std::vector<OrderedPromotion> remaining(1, last);
    co_await this->PublishPhase(SimulatedPhase::kOrdered, remaining);
  }
  co_return true;
}

SimulatedDaemon::Task SimulatedDaemon::GuardPromotion(std::shared_ptr<Takeover> takeover,
                                                      std::string candidate) {
  TakeoverView view = takeover->view;
  TimePoint next_round = this->Now() + kPromotionPollInterval;
  bool leads = false;
  while (takeover->promoting && this->IsHeld(*takeover) && !leads) {
    if (this->IsCurrent(view) && this->Now() < next_round) {
      co_await this->Sleep(kMembershipCheckInterval);
      continue;
    }
    view.members = co_await this->CollectStatuses(kOrderTimeout);
    next_round = this->Now() + kPromotionPollInterval;
    if (NextPromotionGuardStep(view, candidate).kind == Kind::kPause) {
      const std::vector<MemberStatus> later = co_await this->CollectStatuses(kOrderTimeout);
      leads = LeadsIn(later, candidate);
    }
    TakeoverStep step = NextPromotionGuardStep(view, candidate);
    while (!leads && step.kind != Kind::kWait && takeover->promoting && this->IsHeld(*takeover)) {
      if (step.kind == Kind::kPause) {
        takeover->paused.push_back(step.endpoint);
      }
      this->Trace("guard orders " + step.endpoint + ": " + step.cause);
      const bool ordered = co_await this->OrderMember(step, &view);
      if (!ordered) {
        break;
      }
      step = NextPromotionGuardStep(view, candidate);
    }
  }
  takeover->guarding = false;
  co_return true;
}

}  // namespace poplarmoor
