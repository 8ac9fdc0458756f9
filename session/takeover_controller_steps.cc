#include "session/takeover_controller.h"

#include <algorithm>
#include <optional>

#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/object_store.h"
#include "session/promotion_api.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// A daemon does not claim a takeover that is in progress until the daemon has seen no change of the
// stored takeover claim for this time. The holder of the claim is then assumed to have died or to
// be cut off from the store. The time is longer than the 1 s that the platform takes for a
// promotion.
constexpr Duration kClaimValidity = 2500ms;
constexpr Duration kClaimRetryDelay = 500ms;
constexpr Duration kTakeoverTimeout = 5s;  // Time limit from the claim to the promotion order.
constexpr Duration kStatusRoundInterval = 30ms;  // Time between two rounds of status calls.
constexpr Duration kOrderTimeout = 300ms;        // Time limit of one administrative order.
// Delay before a promotion order that the platform did not answer is sent again; each promotion
// order costs money.
constexpr Duration kPromotionRetryDelay = 100ms;
// A candidate that lacks entries of a paused replica for this time does not receive the primary's
// log; replication takes some milliseconds.
constexpr Duration kCatchUpTimeout = 500ms;
// A candidate that does not show its log for this time before an order is given up.
constexpr Duration kCandidateTimeout = 500ms;
// Interval of status calls to all members during a promotion.
constexpr Duration kPromotionPollInterval = 100ms;
// Interval at which a takeover checks during a promotion whether the group has new members.
constexpr Duration kMembershipCheckInterval = 10ms;
// Each daemon waits for a random time up to this one before it claims a takeover, so that usually
// only one daemon makes the store call, which costs money. A takeover is planned when the primary
// leaves, and unplanned otherwise.
constexpr Duration kUnplannedJitter = 40ms;
constexpr Duration kPlannedJitter = 400ms;

// Returns the compared members with their log positions, as text for log lines.
std::string DescribeMembers(const std::vector<MemberStatus>& members) {
  std::string text;
  for (const MemberStatus& member : members) {
    text += (text.empty() ? "" : ", ") + member.id;
    if (!member.reachable) {
      text += member.departed ? " departed, no answer" : " no answer";
      continue;
    }
    text += member.is_primary ? " primary " : " replica ";
    text += std::to_string(member.received.term) + "." + std::to_string(member.received.index);
    text += " term " + std::to_string(member.term);
    text += member.active_pause_term == 0
                ? ""
                : " paused in " + std::to_string(member.active_pause_term);
    text += member.leaving ? " leaving" : "";
    text += member.departed ? " departed" : "";
  }
  return text;
}

bool HaveSameMembers(const TakeoverClaim& left, const TakeoverClaim& right) {
  return std::equal(left.members.begin(), left.members.end(), right.members.begin(),
                    right.members.end(),
                    [](const auto& one, const auto& other) { return one.id == other.id; });
}

bool IsRecorded(const TakeoverClaim& claim, const std::string& id) {
  return std::any_of(claim.members.begin(), claim.members.end(),
                     [&id](const TakeoverMember& member) { return member.id == id; });
}

TakeoverMember RecordOf(const EndpointPool& pool) {
  const EndpointRecord& record = pool.record();
  return {record.id, record.address, record.failure_domain};
}

bool HaveSameOrders(const TakeoverClaim& left, const TakeoverClaim& right) {
  return std::equal(
      left.ordered.begin(), left.ordered.end(), right.ordered.begin(), right.ordered.end(),
      [](const auto& one, const auto& other) { return one.endpoint == other.endpoint; });
}

}  // namespace

bool TakeoverController::IsClaimed(const ServiceGroup& group) const {
  const bool in_progress =
      group.claim.phase == TakeoverPhase::kClaimed || group.claim.phase == TakeoverPhase::kOrdered;
  return in_progress && BootNow() - group.claim_seen < kClaimValidity;
}

asio::awaitable<void> TakeoverController::RunTakeover(ServiceGroup* group, TakeoverReason reason) {
  try {
    co_await this->TryTakeover(group, reason);
  } catch (...) {
    group->taking_over = false;
    throw;
  }
  group->taking_over = false;
}

asio::awaitable<void> TakeoverController::TryTakeover(ServiceGroup* group, TakeoverReason reason) {
  const bool planned =
      reason == TakeoverReason::kPrimaryLeaving || reason == TakeoverReason::kUnfinished;
  co_await Pause(RandomDuration(&this->random, planned ? kPlannedJitter : kUnplannedJitter));
  bool claimed = !this->IsClaimed(*group);
  if (claimed) {
    claimed = co_await this->ClaimTakeover(group, reason);
  }
  if (!claimed) {
    // Another daemon holds the takeover claim, or the store cannot be reached.
    co_await Pause(kClaimRetryDelay);
  }
  while (claimed) {
    const bool goes_on = co_await this->RunTakeoverSteps(group, reason, group->claim);
    if (!goes_on || this->stopping) {
      break;
    }
    co_await Pause(kPromotionRetryDelay);
    claimed = co_await this->ClaimTakeover(group, reason);
  }
}

asio::awaitable<bool> TakeoverController::ClaimTakeover(ServiceGroup* group,
                                                        TakeoverReason reason) {
  TakeoverClaim claim;
  claim.service = group->name;
  claim.phase = TakeoverPhase::kClaimed;
  claim.holder = this->daemon;
  claim.nonce = this->random();
  claim.resume_pending = BootNow() < group->resume_pending_until;
  claim.ordered = group->claim.ordered;
  if (!claim.ordered.empty() && !group->HasOrderedPromotion()) {
    claim.ordered.erase(claim.ordered.begin(), claim.ordered.end() - 1);
  }
  if (reason == TakeoverReason::kPrimaryLost) {
    claim.lost_primary = group->old_primary;
  }
  // A member that has joined since is recorded after the takeover: no commit rests on its log.
  const bool has_record = !group->claim.members.empty();
  for (const auto& [id, pool] : group->members) {
    if (!has_record || IsRecorded(group->claim, id)) {
      claim.members.push_back(RecordOf(*pool));
    }
  }
  std::string cause;
  claim.revision = co_await this->StoreClaim(claim, group->claim.revision.number, &cause);
  Log(LogLevel::kInfo, claim.revision.Exists() ? "takeover claimed" : "takeover not claimed",
      {{"service", group->name},
       {"reason", kTakeoverReasonNames.NameOf(reason)},
       {"old_primary", group->old_primary},
       {"token", FencingToken(claim.revision)},
       {"cause", cause}});
  if (!claim.revision.Exists()) {
    co_return false;
  }
  group->ApplyClaim(claim);
  co_return true;
}

asio::awaitable<StoreRevision> TakeoverController::StoreClaim(TakeoverClaim claim,
                                                              uint64_t expected,
                                                              std::string* cause) {
  try {
    co_return co_await this->store->Put(kTakeoverKind, claim.service, EncodeTakeoverClaim(claim),
                                        expected);
  } catch (const StoreError& error) {
    *cause = error.what();
    if (error.failure == StoreFailure::kRefused) {
      co_return StoreRevision();
    }
  }
  // Another daemon stored its takeover claim first, or the store stored this daemon's claim but the
  // answer was lost; the claim in the store shows which.
  try {
    const auto stored = co_await this->store->Get(kTakeoverKind, claim.service, false);
    if (stored) {
      const TakeoverClaim current = DecodeTakeoverClaim(stored->value, stored->revision);
      if (current.holder == claim.holder && current.nonce == claim.nonce &&
          current.phase == claim.phase && HaveSameMembers(current, claim) &&
          HaveSameOrders(current, claim)) {
        co_return current.revision;
      }
      this->cluster->ApplyClaim(current);
    }
  } catch (const std::runtime_error& error) {
    *cause = error.what();
  }
  co_return StoreRevision();
}

asio::awaitable<void> TakeoverController::ReadClaim(ServiceGroup* group) {
  const TimePoint sent = BootNow();
  try {
    const auto stored = co_await this->store->Get(kTakeoverKind, group->name, false);
    if (stored) {
      this->cluster->ApplyClaim(DecodeTakeoverClaim(stored->value, stored->revision));
    }
    group->NoteClaimVerified(sent);
    group->statuses_changed.NotifyAll();
  } catch (const std::runtime_error& error) {
    Log(LogLevel::kDebug, "cannot read the takeover claim",
        {{"service", group->name}, {"cause", error.what()}});
  }
}

// A takeover that this daemon runs.
struct TakeoverController::Takeover {
  ServiceGroup* group;
  TakeoverClaim held;  // The claim under which the takeover runs.
  TakeoverView view;
  std::vector<std::string> paused;  // Ids of the replicas that were ordered to pause.
  bool promoting = false;           // The promotion has not ended.
  bool guarding = false;            // GuardPromotion() runs.

  // Whether no other daemon has claimed the takeover meanwhile.
  bool IsHeld() const { return this->group->claim.nonce == this->held.nonce; }
};

bool TakeoverController::IsCurrent(const TakeoverView& view, const ServiceGroup& group) {
  return view.members.size() == group.members.size() &&
         std::all_of(view.members.begin(), view.members.end(), [&group](const auto& status) {
           const auto member = group.members.find(status.id);
           return member != group.members.end() && member->second->departed == status.departed &&
                  member->second->record().leaving == status.leaving;
         });
}

enum class TakeoverController::PromotionResult {
  kDone,     // The platform has accepted the order.
  kRefused,  // The platform has refused the only order, which will not be carried out.
  kRetry,    // The order was refused, but an earlier one may still be carried out.
  kLost,     // The takeover is another daemon's, or the order could not be recorded.
};

asio::awaitable<bool> TakeoverController::RunTakeoverSteps(ServiceGroup* group,
                                                           TakeoverReason reason,
                                                           TakeoverClaim held) {
  const auto takeover = std::make_shared<Takeover>();
  takeover->group = group;
  takeover->held = std::move(held);
  TakeoverView& view = takeover->view;
  view.reason = reason;
  view.old_primary = group->old_primary;
  const auto service = this->cluster->routes().services.find(group->name);
  if (service != this->cluster->routes().services.end()) {
    view.synchronous_replicas = service->second.synchronous_replicas;
  }
  const TimePoint deadline = BootNow() + kTakeoverTimeout;
  std::string last_cause;
  std::optional<TimePoint> behind_since;
  bool outdated = true;
  while (BootNow() < deadline && takeover->IsHeld()) {
    if (outdated || !IsCurrent(view, *group)) {
      view.members = co_await this->CollectStatuses(group, kOrderTimeout);
      for (MemberStatus& member : view.members) {
        member.recorded = IsRecorded(takeover->held, member.id);
        if (member.reachable && member.is_primary && member.id == view.old_primary) {
          group->term = std::max(group->term, member.term);
        }
      }
      view.ordered = PendingPromotions(takeover->held.ordered, view.old_primary, group->term);
      view.none_has_led |= NoneHasLed(view);
      outdated = false;
      uint64_t newest = group->term;
      for (const MemberStatus& member : view.members) {
        newest = std::max(newest, member.term);
      }
      view.pause_term = std::max(view.pause_term, newest + 1);
      if (!IsCurrent(view, *group)) {
        continue;
      }
    }
    view.known_position = group->freshness.Highest();
    view.resume_pending = BootNow() < group->resume_pending_until;
    view.catch_up_failed = behind_since && BootNow() - *behind_since > kCatchUpTimeout;
    const TakeoverStep step = NextTakeoverStep(view);
    if (!step.catching_up) {
      behind_since.reset();
    } else if (!behind_since) {
      behind_since = BootNow();
    }
    if (step.cause != last_cause) {
      last_cause = step.cause;
      Log(LogLevel::kInfo, "takeover step",
          {{"service", group->name},
           {"endpoint", step.endpoint},
           {"cause", step.cause},
           {"members", DescribeMembers(view.members)},
           {"term", view.pause_term},
           {"token", FencingToken(takeover->held.revision)}});
    }
    if (step.kind == TakeoverStep::Kind::kAbandon) {
      break;
    }
    if (step.kind == TakeoverStep::Kind::kPromote) {
      const PromotionResult result = co_await this->Promote(takeover, step.endpoint);
      if (result == PromotionResult::kDone || result == PromotionResult::kRetry) {
        co_return result == PromotionResult::kRetry;
      }
      break;
    }
    if (step.kind == TakeoverStep::Kind::kPause) {
      takeover->paused.push_back(step.endpoint);
    }
    // Whether the member has answered a pause or step-down order. The answer contains the member's
    // status, so no new round of status calls is needed.
    bool ordered = false;
    if (step.kind != TakeoverStep::Kind::kWait) {
      ordered = co_await this->OrderMember(group, step, &view);
    }
    if (!ordered) {
      co_await Pause(kStatusRoundInterval);
      outdated = true;
    }
  }
  co_await this->AbandonTakeover(takeover);
  co_return false;
}

asio::awaitable<bool> TakeoverController::OrderMember(ServiceGroup* group,
                                                      TakeoverStep step,
                                                      TakeoverView* view) {
  const auto pool = this->cluster->FindEndpoint(step.endpoint);
  if (pool == nullptr) {
    co_return false;
  }
  const EndpointOrder order =
      step.kind == TakeoverStep::Kind::kPause ? EndpointOrder::kPause : EndpointOrder::kStepDown;
  try {
    const EndpointReport report =
        co_await pool->SendOrder(order, view->pause_term, kOrderTimeout, false);
    for (MemberStatus& member : view->members) {
      if (member.id == step.endpoint) {
        ApplyReport(report, &member);
      }
    }
    co_return true;
  } catch (const std::runtime_error& error) {
    // The endpoint may still carry out the pause or step-down order; the next status call shows
    // whether it has carried out the order.
    Log(LogLevel::kWarn, "endpoint did not answer the order",
        {{"service", group->name},
         {"endpoint", step.endpoint},
         {"order", kEndpointOrderNames.NameOf(order)},
         {"cause", error.what()}});
  }
  co_return false;
}

asio::awaitable<void> TakeoverController::AbandonTakeover(std::shared_ptr<Takeover> takeover) {
  ServiceGroup* group = takeover->group;
  std::vector<std::string>& paused = takeover->paused;
  const uint64_t term = takeover->view.pause_term;
  for (const MemberStatus& member : takeover->view.members) {
    // The holder of an earlier takeover may have left the replica paused.
    if (member.active_pause_term != 0 &&
        std::find(paused.begin(), paused.end(), member.id) == paused.end()) {
      paused.push_back(member.id);
    }
  }
  Log(LogLevel::kInfo, "takeover abandoned",
      {{"service", group->name}, {"paused", paused.size()}, {"holder", group->claim.holder}});
  if (!takeover->IsHeld()) {
    // The holder of the newer takeover claim decides about the paused replicas. If the store was
    // restored without this claim, an order of this daemon to promote may still be carried out.
    co_return;
  }
  if (group->HasOrderedPromotion()) {
    // The next takeover goes on with the ordered promotion.
    Log(LogLevel::kInfo, "replicas stay paused: an ordered promotion may still take place",
        {{"service", group->name}, {"endpoint", group->claim.ordered.back().endpoint}});
    co_return;
  }
  const std::vector<OrderedPromotion> unchanged = group->claim.ordered;
  // The stored phase kResuming shows that no other daemon has claimed the takeover meanwhile, for
  // example while this daemon was frozen: an order to resume replication would undo a pause that
  // the other daemon relies on. The phase also tells the next holder of the claim that the endpoint
  // may still carry out such an order if its answer is lost.
  while (!paused.empty()) {
    const bool published = co_await this->PublishPhase(group, TakeoverPhase::kResuming, unchanged);
    if (published) {
      break;
    }
    if (!takeover->IsHeld() || this->stopping) {
      Log(LogLevel::kInfo, "replicas stay paused: the takeover is no longer this daemon's",
          {{"service", group->name}, {"holder", group->claim.holder}});
      co_return;
    }
    co_await Pause(kClaimRetryDelay);
  }
  bool all_resumed = true;
  for (const std::string& endpoint : paused) {
    const auto pool = this->cluster->FindEndpoint(endpoint);
    try {
      if (pool != nullptr) {
        co_await pool->SendOrder(EndpointOrder::kResume, term, kOrderTimeout, false);
      }
    } catch (const std::runtime_error& error) {
      all_resumed = false;
      Log(LogLevel::kWarn, "cannot resume the replica",
          {{"service", group->name}, {"endpoint", endpoint}, {"cause", error.what()}});
    }
  }
  if (all_resumed) {
    co_await this->PublishPhase(group, TakeoverPhase::kAbandoned, unchanged);
  }
}

asio::awaitable<bool> TakeoverController::PublishPhase(ServiceGroup* group,
                                                       TakeoverPhase phase,
                                                       std::vector<OrderedPromotion> ordered) {
  TakeoverClaim claim = group->claim;
  claim.phase = phase;
  claim.resume_pending = phase == TakeoverPhase::kResuming ||
                         (claim.resume_pending && phase != TakeoverPhase::kAbandoned);
  claim.endpoint = ordered.empty() ? std::string() : ordered.back().endpoint;
  claim.ordered = std::move(ordered);
  const auto candidate = group->members.find(claim.endpoint);
  if (candidate != group->members.end() && !IsRecorded(claim, claim.endpoint)) {
    // Daemons ask only recorded members for what they have received.
    claim.members.push_back(RecordOf(*candidate->second));
  }
  std::string cause;
  claim.revision = co_await this->StoreClaim(claim, claim.revision.number, &cause);
  if (!claim.revision.Exists()) {
    Log(LogLevel::kInfo, "takeover phase not stored",
        {{"service", group->name}, {"phase", kTakeoverPhaseNames.NameOf(phase)}, {"cause", cause}});
    co_return false;
  }
  group->ApplyClaim(std::move(claim));
  co_return true;
}

asio::awaitable<TakeoverController::PromotionResult> TakeoverController::Promote(
    std::shared_ptr<Takeover> takeover,
    std::string endpoint) {
  takeover->promoting = takeover->guarding = true;
  SpawnTask(this->executor, "guard a promotion", this->GuardPromotion(takeover, endpoint),
            [takeover] { takeover->guarding = false; });
  const PromotionResult result = co_await this->OrderPromotion(takeover, std::move(endpoint));
  takeover->promoting = false;
  // A pause order that is still in progress must not follow the orders to resume.
  while (takeover->guarding) {
    co_await Pause(kMembershipCheckInterval);
  }
  co_return result;
}

asio::awaitable<TakeoverController::PromotionResult> TakeoverController::OrderPromotion(
    std::shared_ptr<Takeover> takeover,
    std::string endpoint) {
  ServiceGroup* group = takeover->group;
  const uint64_t token = FencingToken(takeover->held.revision);
  std::vector<OrderedPromotion> ordered = takeover->held.ordered;
  if (ordered.empty() || ordered.back().endpoint != endpoint) {
    for (const MemberStatus& member : takeover->view.members) {
      if (member.id == endpoint) {
        ordered.push_back({endpoint, member.received, takeover->view.pause_term});
      }
    }
  }
  // The daemons have to know of the order before the platform can carry it out.
  const bool stored = co_await this->PublishPhase(group, TakeoverPhase::kOrdered, ordered);
  if (!stored) {
    co_return PromotionResult::kLost;
  }
  // An order of an earlier claim may be outstanding as well.
  bool outstanding = !takeover->view.ordered.empty();
  PromotionOutcome outcome = PromotionOutcome::kUnknown;
  while (takeover->IsHeld()) {
    const bool has_log = co_await this->HasLog(ordered.back());
    if (!has_log) {
      Log(LogLevel::kWarn, "promotion not ordered: the candidate does not show its log",
          {{"service", group->name}, {"endpoint", endpoint}});
      break;
    }
    outcome = co_await this->promotions->Promote(group->name, endpoint, token);
    Log(LogLevel::kInfo, "promotion ordered",
        {{"service", group->name},
         {"endpoint", endpoint},
         {"token", token},
         {"outcome", kPromotionOutcomeNames.NameOf(outcome)}});
    if (outcome != PromotionOutcome::kUnknown) {
      break;
    }
    outstanding = true;
    co_await Pause(kPromotionRetryDelay);
  }
  this->metrics->Add(Metric::kPromotions, {group->name, kPromotionOutcomeNames.NameOf(outcome)});
  if (outcome == PromotionOutcome::kAccepted) {
    group->promotion_ordered = BootNow();
    co_await this->AwaitPromotion(group, endpoint);
    if (!takeover->view.ordered.empty()) {
      co_await this->ForgetEarlierOrders(takeover);
    }
    co_return PromotionResult::kDone;
  }
  if (!takeover->IsHeld()) {
    co_return PromotionResult::kLost;
  }
  if (outstanding) {
    co_return PromotionResult::kRetry;
  }
  // The order was the only one and was refused, so that no promotion takes place.
  co_await this->PublishPhase(group, TakeoverPhase::kClaimed, takeover->held.ordered);
  co_return PromotionResult::kRefused;
}

asio::awaitable<void> TakeoverController::ForgetEarlierOrders(std::shared_ptr<Takeover> takeover) {
  ServiceGroup* group = takeover->group;
  const OrderedPromotion last = group->claim.ordered.back();
  // A promotion that the platform had begun before it saw this claim's token takes place until
  // then.
  co_await Pause(kClaimValidity);
  if (takeover->IsHeld() && group->old_primary == last.endpoint) {
    const std::vector<OrderedPromotion> remaining(1, last);
    co_await this->PublishPhase(group, TakeoverPhase::kOrdered, remaining);
  }
}

asio::awaitable<bool> TakeoverController::HasLog(OrderedPromotion promotion) {
  const TimePoint deadline = BootNow() + kCandidateTimeout;
  do {
    const auto pool = this->cluster->FindEndpoint(promotion.endpoint);
    if (pool == nullptr) {
      co_return false;
    }
    try {
      const EndpointReport report =
          co_await pool->SendOrder(EndpointOrder::kStatus, 0, kOrderTimeout, false);
      co_return report.received >= promotion.received;
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kDebug, "status call failed",
          {{"endpoint", promotion.endpoint}, {"cause", error.what()}});
    }
    co_await Pause(kStatusRoundInterval);
  } while (BootNow() < deadline);
  co_return false;
}

asio::awaitable<void> TakeoverController::AwaitPromotion(ServiceGroup* group,
                                                         std::string endpoint) {
  const TimePoint started = BootNow();
  while (BootNow() - started < kClaimValidity) {
    const auto pool = this->cluster->FindEndpoint(endpoint);
    if (pool == nullptr || pool->departed) {
      break;
    }
    try {
      const EndpointReport report =
          co_await pool->SendOrder(EndpointOrder::kStatus, 0, kOrderTimeout, false);
      if (report.is_primary) {
        const TimePoint since = group->outage_since.value_or(BootNow());
        this->metrics->Observe(Metric::kFailoverSeconds, {group->name}, BootNow() - since);
        group->SetPrimary(endpoint, report.term, "promotion");
        break;
      }
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kDebug, "status call failed",
          {{"endpoint", endpoint}, {"cause", error.what()}});
    }
    co_await Pause(kPromotionPollInterval);
  }
}

asio::awaitable<void> TakeoverController::GuardPromotion(std::shared_ptr<Takeover> takeover,
                                                         std::string candidate) {
  ServiceGroup* group = takeover->group;
  TakeoverView view = takeover->view;
  TimePoint next_round = BootNow() + kPromotionPollInterval;
  while (takeover->promoting && takeover->IsHeld()) {
    if (IsCurrent(view, *group) && BootNow() < next_round) {
      co_await Pause(kMembershipCheckInterval);
      continue;
    }
    view.members = co_await this->CollectStatuses(group, kOrderTimeout);
    next_round = BootNow() + kPromotionPollInterval;
    if (NextPromotionGuardStep(view, candidate).kind == TakeoverStep::Kind::kPause) {
      // The promotion ends all pauses. A replica that has not heard of the new primary yet would
      // stay paused, so the candidate must not lead after the replica's status was read.
      const auto later = co_await this->CollectStatuses(group, kOrderTimeout);
      if (LeadsIn(later, candidate)) {
        co_return;
      }
    }
    for (TakeoverStep step = NextPromotionGuardStep(view, candidate);
         step.kind != TakeoverStep::Kind::kWait && takeover->promoting && takeover->IsHeld();
         step = NextPromotionGuardStep(view, candidate)) {
      Log(LogLevel::kWarn, "takeover step during a promotion",
          {{"service", group->name},
           {"endpoint", step.endpoint},
           {"candidate", candidate},
           {"cause", step.cause},
           {"members", DescribeMembers(view.members)},
           {"term", view.pause_term}});
      if (step.kind == TakeoverStep::Kind::kPause) {
        takeover->paused.push_back(step.endpoint);
      }
      const bool ordered = co_await this->OrderMember(group, step, &view);
      if (!ordered) {
        break;
      }
    }
  }
}

}  // namespace poplarmoor
