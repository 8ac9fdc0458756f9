#include "session/group_keeper.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>

#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/endpoint_session.h"
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
// A fresh primary is not replaced for stalled commits while replicas turn to it.
constexpr Duration kFreshPrimary = 2s;
// Without any primary in the registry, members are asked for this time before one is promoted.
constexpr Duration kNoPrimaryLimit = 1s;

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

void GroupKeeper::EnterReport(const EndpointReport& report, MemberStatus* status) {
  status->reachable = true;
  status->is_primary = report.is_primary;
  status->term = report.term;
  status->received = report.received;
  status->held_term = report.held_term;
}

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
    EnterReport(report, &question.status);
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

}  // namespace poplarmoor
