#include "session/group_keeper.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>

#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/endpoint_session.h"
#include "session/object_store.h"
#include "session/promotion_api.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr Duration kCheckInterval = 50ms;
// Silence of an endpoint with statements in progress; above the usual slow statement (45 ms) behind
// a short queue. It only leads to a probe.
constexpr Duration kSuspiciousSilence = 150ms;
// Commits that are not acknowledged for this time on a primary that answers otherwise.
constexpr Duration kStalledCommit = 500ms;
// Two fresh connections must fail; the second one covers a lost packet.
constexpr Duration kProbeLimit = 250ms;
constexpr int kProbeAttempts = 2;
constexpr Duration kProbeGap = 80ms;  // Between the starts of two attempts.
// An endpoint that is down is asked this often by the daemons that watch the store. The interval of
// the others doubles up to the maximum: each connection takes a place at the endpoint, and in a
// large fleet the probes alone would keep one that returns from serving.
constexpr Duration kDownProbeInterval = 400ms;
constexpr Duration kMaxDownProbeInterval = 3200ms;
constexpr Duration kSeekInterval = 100ms;  // Of the daemons that watch the store.
// The others mostly learn of a new primary from the store.
constexpr Duration kFollowerSeekInterval = 600ms;
constexpr Duration kFollowerSeekJitter = 400ms;
constexpr Duration kSeekLimit = 250ms;  // Of one status call.
// Once the other members have answered, those that are down are awaited for some round trips.
constexpr Duration kDownPatience = 80ms;
// An older loss may have healed: the former primary gets the time of a connection to a busy
// endpoint, because a takeover of a healthy one costs a gap.
constexpr Duration kRecentLoss = 1500ms;
constexpr Duration kHealedPatience = 300ms;
// A claim is respected for this time; its holder has died or lost the store after it. Above the
// platform's time for a promotion (1 s).
constexpr Duration kClaimValidity = 2500ms;
constexpr Duration kClaimRetry = 500ms;
constexpr Duration kTakeoverLimit = 5s;      // Of a takeover before its promotion is ordered.
constexpr Duration kRoundInterval = 30ms;    // Between two rounds of status calls.
constexpr Duration kOrderLimit = 300ms;      // Of one order to an endpoint.
constexpr Duration kPromotionRetry = 100ms;  // Between orders without an answer; each is paid for.
// The daemons spread their claims, so that mostly one of them pays for a call.
constexpr Duration kUrgentJitter = 40ms;
constexpr Duration kPlannedJitter = 400ms;
// A fresh primary is not replaced for stalled commits while replicas turn to it.
constexpr Duration kFreshPrimary = 2s;
// Without any primary in the registry, members are asked for this time before one is promoted.
constexpr Duration kNoPrimaryLimit = 1s;

void ApplyReport(const EndpointReport& report, MemberStatus* status) {
  status->reachable = true;
  status->is_primary = report.is_primary;
  status->term = report.term;
  status->received = report.received;
  status->held_term = report.held_term;
}

bool IsGatewayOfAny(const ServiceGroup& group) {
  return std::any_of(group.members.begin(), group.members.end(),
                     [](const auto& member) { return !member.second->is_relayed(); });
}

}  // namespace

GroupKeeper::GroupKeeper(asio::any_io_executor executor,
                         Cluster* cluster,
                         ObjectStore* store,
                         PromotionApi* promotions,
                         Metrics* metrics,
                         std::string daemon)
    : executor(std::move(executor)),
      cluster(cluster),
      store(store),
      promotions(promotions),
      metrics(metrics),
      daemon(std::move(daemon)),
      random(std::random_device{}()) {}

void GroupKeeper::Spawn(asio::awaitable<void> work) {
  asio::co_spawn(this->executor, std::move(work), [](std::exception_ptr failure) {
    if (failure) {
      std::rethrow_exception(failure);
    }
  });
}

void GroupKeeper::Start() {
  this->Spawn(this->Run());
}

// -----------------------------------------------------------------------------
// Watching

asio::awaitable<void> GroupKeeper::Run() {
  for (;;) {
    this->cluster->Sweep();
    for (auto& [service, group] : this->cluster->groups()) {
      this->Check(group.get());
    }
    co_await Pause(kCheckInterval);
  }
}

void GroupKeeper::Check(ServiceGroup* group) {
  const TimePoint now = BootNow();
  const bool watches = this->cluster->relays().plan().IsWatcher();
  for (auto& [id, pool] : group->members) {
    const bool due = pool->down ? now >= pool->next_down_probe
                                : pool->suspected || pool->Silence() > kSuspiciousSilence;
    // A few daemons of each failure domain probe endpoints whose gateways may be cut off with them.
    const bool probes = !pool->is_relayed() || watches;
    if (due && !pool->probing && probes) {
      pool->probing = true;
      pool->suspected = false;
      this->Spawn(this->Probe(group, pool));
    }
  }
  const auto primary = group->Primary();
  if (primary == nullptr) {
    if (!group->seeking && !group->members.empty()) {
      group->seeking = true;
      this->Spawn(this->Seek(group));
    }
    return;
  }
  // The primary's gateways watch it, so that the daemons of a large fleet do not act all at once.
  if (group->taking_over || this->stopping || primary->is_relayed()) {
    return;
  }
  if (primary->record().leaving) {
    group->taking_over = true;
    this->Spawn(this->TakeOver(group, TakeoverReason::kPrimaryLeaving));
    return;
  }
  TimePoint oldest = now;
  for (const auto& [connection, sent] : group->commits) {
    oldest = std::min(oldest, sent);
  }
  if (now - oldest > kStalledCommit && now - group->primary_since > kFreshPrimary) {
    group->taking_over = true;
    this->Spawn(this->TakeOver(group, TakeoverReason::kReplicationStalled));
  }
}

asio::awaitable<void> GroupKeeper::Probe(ServiceGroup* group, std::shared_ptr<EndpointPool> pool) {
  struct Result {
    int pending = kProbeAttempts;
    bool answers = false;
    std::string cause;
    WaitList changed;
  };
  const auto result = std::make_shared<Result>(
      Result{kProbeAttempts, false, std::string(), WaitList(this->executor)});
  const auto attempt = [](std::shared_ptr<Result> result, std::shared_ptr<EndpointPool> pool,
                          Duration delay) -> asio::awaitable<void> {
    co_await Pause(delay);
    if (!result->answers) {
      try {
        co_await pool->Order(EndpointOrder::kStatus, 0, kProbeLimit, true);
        result->answers = true;
      } catch (const EndpointSessionError& error) {
        // An endpoint that closes an accepted connection runs, but is at its connection limit.
        result->answers |= error.kind == EndpointSessionError::Kind::kClosed;
        result->cause = error.what();
      } catch (const std::runtime_error& error) {
        result->answers = true;  // It answered with a refusal.
        result->cause = error.what();
      }
    }
    --result->pending;
    result->changed.NotifyAll();
  };
  const bool was_down = pool->down;
  result->pending = was_down ? 1 : kProbeAttempts;
  for (int number = 0; number < result->pending; ++number) {
    this->Spawn(attempt(result, pool, number * kProbeGap));
  }
  while (result->pending > 0 && !result->answers) {
    co_await result->changed.Wait(kProbeLimit);
  }
  const std::string cause = result->cause;
  const bool answers = result->answers;
  pool->probing = false;
  if (answers) {
    pool->down = false;
    pool->down_interval = {};
    if (was_down) {
      Log(LogLevel::kInfo, "endpoint regained",
          {{"service", group->name}, {"endpoint", pool->record().id}});
    }
    co_return;
  }
  pool->down = true;
  pool->down_interval =
      pool->down_interval == Duration{} || this->cluster->relays().plan().IsWatcher()
          ? kDownProbeInterval
          : std::min(pool->down_interval * 2, kMaxDownProbeInterval);
  pool->next_down_probe =
      BootNow() + pool->down_interval + RandomDuration(&this->random, pool->down_interval / 4);
  if (was_down) {
    co_return;
  }
  Log(LogLevel::kWarn, "endpoint lost",
      {{"service", group->name}, {"endpoint", pool->record().id}, {"cause", cause}});
  pool->Abandon();
  const bool led = group->Primary() == pool;
  group->LosePrimary(pool->record().id, "it does not answer on fresh connections");
  if (led && !group->taking_over && !this->stopping) {
    group->taking_over = true;
    co_await this->TakeOver(group, TakeoverReason::kPrimaryLost);
  }
}

struct GroupKeeper::StatusRound {
  struct Question {
    std::shared_ptr<EndpointPool> pool;
    MemberStatus status;
    int pending = 0;  // Ways on which it was asked and that have not failed yet.
  };

  explicit StatusRound(asio::any_io_executor executor) : changed(std::move(executor)) {}

  // Questions without an answer that may still get one.
  size_t Open() const {
    return static_cast<size_t>(
        std::count_if(this->questions.begin(), this->questions.end(), [](const Question& question) {
          return question.pending > 0 && !question.status.reachable;
        }));
  }

  std::vector<Question> questions;
  WaitList changed;
};

asio::awaitable<void> GroupKeeper::Ask(std::shared_ptr<StatusRound> round,
                                       size_t place,
                                       Duration limit,
                                       bool fresh) {
  StatusRound::Question& question = round->questions[place];
  try {
    const EndpointReport report =
        co_await question.pool->Order(EndpointOrder::kStatus, 0, limit, fresh);
    ApplyReport(report, &question.status);
  } catch (const std::runtime_error& error) {
    Log(LogLevel::kDebug, "status unknown",
        {{"endpoint", question.status.id}, {"fresh", fresh}, {"cause", error.what()}});
  }
  --question.pending;
  round->changed.NotifyAll();
}

asio::awaitable<std::vector<MemberStatus>> GroupKeeper::Statuses(ServiceGroup* group,
                                                                 Duration limit) {
  const auto round = std::make_shared<StatusRound>(this->executor);
  for (const auto& [id, pool] : group->members) {
    StatusRound::Question question;
    question.pool = pool;
    question.status.id = id;
    question.status.leaving = pool->record().leaving;
    // An endpoint that is down is asked by way of a peer and directly: either way may have healed.
    question.pending = pool->down && pool->UsesRelay() ? 2 : 1;
    round->questions.push_back(std::move(question));
  }
  size_t down = 0;
  for (size_t place = 0; place < round->questions.size(); ++place) {
    const StatusRound::Question& question = round->questions[place];
    down += question.pool->down ? 1 : 0;
    this->Spawn(this->Ask(round, place, limit, false));
    if (question.pending > 1) {
      this->Spawn(this->Ask(round, place, limit, true));
    }
  }
  const TimePoint deadline = BootNow() + limit;
  while (round->Open() > down && BootNow() < deadline) {
    co_await round->changed.Wait(limit);
  }
  // Endpoints that are down mostly use the whole limit up; the others do not wait for them.
  const bool recent = group->outage_since && BootNow() - *group->outage_since < kRecentLoss;
  const TimePoint patience =
      std::min(deadline, BootNow() + (recent ? kDownPatience : kHealedPatience));
  while (round->Open() > 0 && BootNow() < patience) {
    co_await round->changed.Wait(patience - BootNow());
  }
  std::vector<MemberStatus> statuses;
  for (const StatusRound::Question& question : round->questions) {
    statuses.push_back(question.status);
  }
  co_return statuses;
}

asio::awaitable<void> GroupKeeper::Seek(ServiceGroup* group) {
  const TimePoint started = BootNow();
  while (group->Primary() == nullptr && !group->members.empty()) {
    const auto statuses = co_await this->Statuses(group, kSeekLimit);
    const MemberStatus* leader = nullptr;
    for (const MemberStatus& status : statuses) {
      if (status.reachable && status.is_primary &&
          (leader == nullptr || status.term > leader->term)) {
        leader = &status;
      }
    }
    if (leader != nullptr && leader->term >= group->term) {
      group->SetPrimary(leader->id, leader->term, "status");
      break;
    }
    // Who has not lost the former primary itself may only lack the way to its gateways.
    const auto former = this->cluster->FindEndpoint(group->old_primary);
    const bool may_act = former != nullptr ? former->down : IsGatewayOfAny(*group);
    const bool idle = may_act && !group->taking_over && !this->stopping && !this->IsClaimed(*group);
    if (idle && BootNow() - started > kNoPrimaryLimit) {
      group->taking_over = true;
      co_await this->TakeOver(group, group->old_primary.empty() ? TakeoverReason::kNoPrimary
                                                                : TakeoverReason::kPrimaryLost);
    }
    const bool watches = this->cluster->relays().plan().IsWatcher();
    co_await Pause(watches ? kSeekInterval
                           : kFollowerSeekInterval +
                                 RandomDuration(&this->random, kFollowerSeekJitter));
  }
  group->seeking = false;
}

// -----------------------------------------------------------------------------
// Takeover

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
    const bool ordered =
        step.kind != TakeoverStep::Kind::kWait && co_await this->OrderMember(group, step, &view);
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
        ApplyReport(report, &member);
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
    co_await Pause(kSeekInterval);
  }
  co_return true;
}

}  // namespace poplarmoor
