#include "session/takeover_controller.h"

#include <algorithm>
#include <optional>

#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/takeover_run.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr Duration kClaimRetryDelay = 500ms;
constexpr Duration kTakeoverTimeout = 5s;  // Time limit from the claim to the promotion order.
// A candidate that lacks entries of a paused replica for this time does not receive the primary's
// log; replication takes some milliseconds.
constexpr Duration kCatchUpTimeout = 500ms;
// Each daemon waits for a random time up to this one before it claims a takeover, so that usually
// only one daemon makes the store call, which costs money. A takeover is planned when the primary
// leaves, and unplanned otherwise.
constexpr Duration kUnplannedJitter = 40ms;
constexpr Duration kPlannedJitter = 400ms;

}  // namespace

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

bool TakeoverController::IsCurrent(const TakeoverView& view, const ServiceGroup& group) {
  return view.members.size() == group.members.size() &&
         std::all_of(view.members.begin(), view.members.end(), [&group](const auto& status) {
           const auto member = group.members.find(status.id);
           return member != group.members.end() && member->second->departed == status.departed &&
                  member->second->record().leaving == status.leaving;
         });
}

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

}  // namespace poplarmoor
