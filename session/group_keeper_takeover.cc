#include "session/group_keeper.h"

#include <algorithm>

#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/object_store.h"
#include "session/promotion_api.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// A claim is respected for this time; its holder has died or lost the store after it. Above the
// platform's time for a promotion (1 s).
constexpr Duration kClaimValidity = 2500ms;
constexpr Duration kClaimRetry = 500ms;
constexpr Duration kTakeoverLimit = 5s;      // Of a takeover before its promotion is ordered.
constexpr Duration kRoundInterval = 30ms;    // Between two rounds of status calls.
constexpr Duration kOrderLimit = 300ms;      // Of one order to an endpoint.
constexpr Duration kPromotionRetry = 100ms;  // Between orders without an answer; each is paid for.
constexpr Duration kLeadPoll = 100ms;        // Between questions whether the endpoint leads.
// The daemons spread their claims, so that mostly one of them pays for a call.
constexpr Duration kUrgentJitter = 40ms;
constexpr Duration kPlannedJitter = 400ms;

}  // namespace

bool GroupKeeper::IsClaimed(const ServiceGroup& group) const {
  const bool open =
      group.claim.phase == TakeoverPhase::kClaimed || group.claim.phase == TakeoverPhase::kOrdered;
  return open && BootNow() - group.claim_seen < kClaimValidity;
}

asio::awaitable<void> GroupKeeper::TakeOver(ServiceGroup* group, TakeoverReason reason) {
  const bool planned = reason == TakeoverReason::kPrimaryLeaving;
  co_await Pause(RandomDuration(&this->random, planned ? kPlannedJitter : kUrgentJitter));
  bool claimed = !this->IsClaimed(*group);
  if (claimed) {
    claimed = co_await this->Claim(group, reason);
  }
  if (claimed) {
    co_await this->Compare(group, reason, group->claim.revision);
  } else {
    // Another daemon acts, or the store cannot be reached.
    co_await Pause(kClaimRetry);
  }
  group->taking_over = false;
}

asio::awaitable<bool> GroupKeeper::Claim(ServiceGroup* group, TakeoverReason reason) {
  TakeoverClaim claim;
  claim.service = group->name;
  claim.phase = TakeoverPhase::kClaimed;
  claim.holder = this->daemon;
  claim.nonce = this->random();
  if (reason == TakeoverReason::kPrimaryLost) {
    claim.lost_primary = group->old_primary;
  }
  std::string cause;
  bool conflict = false;
  try {
    claim.revision = co_await this->store->Put(kTakeoverKind, group->name,
                                               EncodeTakeoverClaim(claim), group->claim.revision);
  } catch (const StoreError& error) {
    cause = error.what();
    conflict = error.failure != StoreFailure::kRefused;
  }
  if (conflict) {
    // The claim of another daemon came first, or the answer to this one was lost.
    try {
      const auto stored = co_await this->store->Get(kTakeoverKind, group->name, false);
      if (stored) {
        const TakeoverClaim current = DecodeTakeoverClaim(stored->value, stored->revision);
        if (current.holder == this->daemon && current.nonce == claim.nonce) {
          claim.revision = current.revision;
        } else {
          group->OnClaim(current);
        }
      }
    } catch (const std::runtime_error& error) {
      cause = error.what();
    }
  }
  Log(LogLevel::kInfo, claim.revision != 0 ? "takeover claimed" : "takeover not claimed",
      {{"service", group->name},
       {"reason", kTakeoverReasonNames.NameOf(reason)},
       {"old_primary", group->old_primary},
       {"token", claim.revision},
       {"cause", cause}});
  if (claim.revision == 0) {
    co_return false;
  }
  group->OnClaim(claim);
  co_return true;
}

asio::awaitable<void> GroupKeeper::Compare(ServiceGroup* group,
                                           TakeoverReason reason,
                                           uint64_t token) {
  TakeoverView view;
  view.reason = reason;
  view.old_primary = group->old_primary;
  std::vector<std::string> paused;
  const TimePoint limit = BootNow() + kTakeoverLimit;
  std::string last_cause;
  bool outdated = true;
  while (BootNow() < limit && group->claim.revision == token) {
    if (outdated) {
      view.members = co_await this->Statuses(group, kOrderLimit);
      outdated = false;
      uint64_t newest = group->term;
      for (const MemberStatus& member : view.members) {
        newest = std::max(newest, member.term);
      }
      view.pause_term = std::max(view.pause_term, newest + 1);
    }
    view.resume_pending = BootNow() < group->resume_pending_until;
    const TakeoverStep step = NextTakeoverStep(view);
    if (step.cause != last_cause) {
      last_cause = step.cause;
      Log(LogLevel::kInfo, "takeover step",
          {{"service", group->name},
           {"endpoint", step.endpoint},
           {"cause", step.cause},
           {"term", view.pause_term},
           {"token", token}});
    }
    if (step.kind == TakeoverStep::Kind::kAbandon) {
      break;
    }
    if (step.kind == TakeoverStep::Kind::kPromote) {
      if (co_await this->Promote(group, step.endpoint, token)) {
        co_return;
      }
      break;
    }
    if (step.kind == TakeoverStep::Kind::kPause) {
      paused.push_back(step.endpoint);
    }
    // The answer to an order says what the comparison needs of that member.
    bool ordered = false;
    if (step.kind != TakeoverStep::Kind::kWait) {
      ordered = co_await this->OrderMember(group, step, &view);
    }
    if (!ordered) {
      co_await Pause(kRoundInterval);
      outdated = true;
    }
  }
  co_await this->Abandon(group, std::move(paused), view.pause_term);
}

asio::awaitable<bool> GroupKeeper::OrderMember(ServiceGroup* group,
                                               TakeoverStep step,
                                               TakeoverView* view) {
  const auto pool = this->cluster->FindEndpoint(step.endpoint);
  if (pool == nullptr) {
    co_return false;
  }
  const EndpointOrder order =
      step.kind == TakeoverStep::Kind::kPause ? EndpointOrder::kPause : EndpointOrder::kStepDown;
  try {
    const EndpointReport report = co_await pool->Order(order, view->pause_term, kOrderLimit, false);
    for (MemberStatus& member : view->members) {
      if (member.id == step.endpoint) {
        EnterReport(report, &member);
      }
    }
    co_return true;
  } catch (const std::runtime_error& error) {
    // The order may be carried out later; the next status shows it.
    Log(LogLevel::kWarn, "order without effect",
        {{"service", group->name},
         {"endpoint", step.endpoint},
         {"order", kEndpointOrderNames.NameOf(order)},
         {"cause", error.what()}});
  }
  co_return false;
}

asio::awaitable<void> GroupKeeper::Abandon(ServiceGroup* group,
                                           std::vector<std::string> paused,
                                           uint64_t term) {
  Log(LogLevel::kInfo, "takeover abandoned",
      {{"service", group->name}, {"paused", paused.size()}, {"holder", group->claim.holder}});
  if (group->claim.holder != this->daemon) {
    co_return;  // The newer holder decides about the paused replicas.
  }
  // A resume order whose answer is lost may be carried out during the next takeover, whose holder
  // has to know of it.
  if (!paused.empty()) {
    co_await this->Announce(group, TakeoverPhase::kResuming, "");
  }
  bool all_resumed = true;
  for (const std::string& endpoint : paused) {
    const auto pool = this->cluster->FindEndpoint(endpoint);
    try {
      if (pool != nullptr) {
        co_await pool->Order(EndpointOrder::kResume, term, kOrderLimit, false);
      }
    } catch (const std::runtime_error& error) {
      all_resumed = false;
      Log(LogLevel::kWarn, "replica not resumed",
          {{"service", group->name}, {"endpoint", endpoint}, {"cause", error.what()}});
    }
  }
  if (all_resumed) {
    co_await this->Announce(group, TakeoverPhase::kAbandoned, "");
  }
}

asio::awaitable<void> GroupKeeper::Announce(ServiceGroup* group,
                                            TakeoverPhase phase,
                                            std::string endpoint) {
  TakeoverClaim claim = group->claim;
  claim.phase = phase;
  claim.endpoint = std::move(endpoint);
  try {
    claim.revision = co_await this->store->Put(kTakeoverKind, group->name,
                                               EncodeTakeoverClaim(claim), claim.revision);
    group->OnClaim(std::move(claim));
  } catch (const StoreError& error) {
    Log(LogLevel::kInfo, "takeover phase not announced",
        {{"service", group->name},
         {"phase", kTakeoverPhaseNames.NameOf(phase)},
         {"cause", error.what()}});
  }
}

asio::awaitable<bool> GroupKeeper::Promote(ServiceGroup* group,
                                           std::string endpoint,
                                           uint64_t token) {
  // An order without an answer may be carried out later. The replicas stay paused until it is
  // answered, or until a newer claim's token ends it.
  PromotionOutcome outcome = PromotionOutcome::kUnknown;
  while (group->claim.revision == token) {
    outcome = co_await this->promotions->Promote(group->name, endpoint, token);
    Log(LogLevel::kInfo, "promotion ordered",
        {{"service", group->name},
         {"endpoint", endpoint},
         {"token", token},
         {"outcome", kPromotionOutcomeNames.NameOf(outcome)}});
    if (outcome != PromotionOutcome::kUnknown) {
      break;
    }
    co_await Pause(kPromotionRetry);
  }
  const TimePoint started = BootNow();
  this->metrics->Add(Metric::kPromotions, {group->name, kPromotionOutcomeNames.NameOf(outcome)});
  if (outcome != PromotionOutcome::kAccepted) {
    co_return false;
  }
  group->promotion_ordered = BootNow();
  co_await this->Announce(group, TakeoverPhase::kOrdered, endpoint);
  while (BootNow() - started < kClaimValidity) {
    const auto pool = this->cluster->FindEndpoint(endpoint);
    if (pool == nullptr) {
      break;
    }
    try {
      const EndpointReport report =
          co_await pool->Order(EndpointOrder::kStatus, 0, kOrderLimit, false);
      if (report.is_primary) {
        const TimePoint since = group->outage_since.value_or(BootNow());
        this->metrics->Observe(Metric::kFailoverSeconds, {group->name}, BootNow() - since);
        group->SetPrimary(endpoint, report.term, "promotion");
        break;
      }
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kDebug, "status unknown", {{"endpoint", endpoint}, {"cause", error.what()}});
    }
    co_await Pause(kLeadPoll);
  }
  co_return true;
}

}  // namespace poplarmoor
