// Promotions of TakeoverController: orders to the platform, and the wait until the endpoint leads.
#include <algorithm>

#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/object_store.h"
#include "session/promotion_api.h"
#include "session/takeover_run.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// A candidate that does not show its log for this time before an order is given up.
constexpr Duration kCandidateTimeout = 500ms;
// Interval of status calls to all members during a promotion.
constexpr Duration kPromotionPollInterval = 100ms;
// Interval at which a takeover checks during a promotion whether the group has new members.
constexpr Duration kMembershipCheckInterval = 10ms;

}  // namespace

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
