#include "session/takeover_controller.h"

#include <algorithm>

#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/endpoint_session.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr Duration kCheckInterval = 50ms;
// An endpoint is probed when it has statements in progress and has answered none for this time. The
// usual slow statement (45 ms) behind a short queue takes less time; a false alarm costs only a
// probe.
constexpr Duration kProbeAfterSilence = 150ms;
// A primary that answers, but has not acknowledged a commit for this time, counts as stalled.
constexpr Duration kCommitStallTimeout = 500ms;
// Time limit of one attempt of a probe to reach an endpoint over a new connection. An endpoint
// counts as down when both attempts of a probe have failed; the second one covers a lost packet. An
// endpoint that is down already is probed with a single attempt.
constexpr Duration kProbeTimeout = 250ms;
constexpr int kProbeAttempts = 2;
constexpr Duration kProbeStagger = 80ms;  // Time between the starts of a probe's two attempts.
// Interval at which a watcher (a daemon that watches the store) probes each endpoint that is down.
// Any other daemon starts with this interval and doubles it after each probe up to the maximum:
// each probe counts towards the endpoint's connection limit, and the probes of a large fleet alone
// would keep a recovering endpoint from serving.
constexpr Duration kDownProbeInterval = 400ms;
constexpr Duration kMaxDownProbeInterval = 3200ms;
// Interval at which a watcher queries the endpoints for the primary while no primary is known.
constexpr Duration kPrimarySearchInterval = 100ms;
// Interval at which a daemon that is not a watcher queries the endpoints for the primary while no
// primary is known; a random time up to the jitter is added. The interval is longer than that of a
// watcher, because these daemons usually learn of a new primary from a watcher.
constexpr Duration kFollowerSearchInterval = 600ms;
// With more services than this, a daemon that is not a watcher waits for an interval before it
// queries the endpoints of one: at a common start of 102 daemons, the registry names the primaries
// of 334 services within that time, and the queries alone would be 100,000 status calls.
constexpr size_t kMaxServicesForEarlySearch = 64;
constexpr Duration kFollowerSearchJitter = 400ms;
// Time limit of one status call, which asks an endpoint for its state.
constexpr Duration kStatusTimeout = 250ms;
// Once all other members of a group have answered, a round of status calls waits this long for the
// members that count as down; the time covers some round trips.
constexpr Duration kDownMemberWait = 80ms;
// Once an outage has lasted for longer than kRecentOutage, the former primary may have recovered,
// and replacing a healthy primary would interrupt the service. A round of status calls then waits
// longer for the members that count as down: kRecoveredMemberWait instead of kDownMemberWait. This
// is enough time for a new connection to a busy endpoint.
constexpr Duration kRecentOutage = 1500ms;
constexpr Duration kRecoveredMemberWait = 300ms;
// For this time after this daemon has learned of a new primary, it does not replace the primary
// because of stalled commits: the replicas may still be switching to the new primary.
constexpr Duration kNewPrimaryGrace = 2s;
// If no primary is known, for example because the registry names none, a daemon queries the members
// of the group for this time before it starts a takeover.
constexpr Duration kNoPrimaryTimeout = 1s;

bool IsGatewayOfAny(const ServiceGroup& group) {
  return std::any_of(group.members.begin(), group.members.end(),
                     [](const auto& member) { return !member.second->is_relayed(); });
}

}  // namespace

TakeoverController::TakeoverController(asio::any_io_executor executor,
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
      random(std::random_device{}()) {
  this->cluster->SetClaimReader([this](ServiceGroup* group) { return this->ReadClaim(group); });
}

void TakeoverController::ApplyReport(const EndpointReport& report, MemberStatus* status) {
  status->reachable = true;
  status->is_primary = report.is_primary;
  status->term = report.term;
  status->received = report.received;
  status->active_pause_term = report.active_pause_term;
}

void TakeoverController::Start() {
  SpawnService(this->executor, "check the endpoints", [this] { return this->Run(); });
}

// -----------------------------------------------------------------------------
// Monitoring

asio::awaitable<void> TakeoverController::Run() {
  for (;;) {
    this->cluster->RunMaintenance();
    this->connection_metrics.Publish(this->cluster, this->metrics, BootNow());
    for (auto& [service, group] : this->cluster->groups()) {
      this->CheckGroup(group.get());
    }
    co_await Pause(kCheckInterval);
  }
}

void TakeoverController::CheckGroup(ServiceGroup* group) {
  const TimePoint now = BootNow();
  const bool is_watcher = this->cluster->relays().plan().IsWatcher();
  for (auto& [id, pool] : group->members) {
    const bool due = pool->down ? now >= pool->next_down_probe
                                : pool->suspected || pool->Silence() > kProbeAfterSilence;
    // A daemon that reaches the endpoint directly may probe it. Of the daemons that reach it
    // through gateways, only the watchers (a few daemons of each failure domain) may: their probes
    // are needed because the endpoint's gateways may be cut off together with the endpoint.
    const bool may_probe = !pool->is_relayed() || is_watcher;
    if (due && !pool->probing && may_probe) {
      pool->probing = true;
      pool->suspected = false;
      SpawnTask(this->executor, "probe an endpoint", this->ProbeEndpoint(group, pool));
    }
  }
  const auto primary = group->Primary();
  if (primary == nullptr) {
    group->record_due.reset();
    if (!group->finding_primary && group->HasRegisteredMember()) {
      group->finding_primary = true;
      SpawnTask(this->executor, "find a primary", this->FindPrimary(group),
                [group] { group->finding_primary = false; });
    }
    return;
  }
  if (group->HasDepartedMember() && !group->reviewing_departures && !group->taking_over &&
      now >= group->next_departure_review) {
    group->reviewing_departures = true;
    SpawnTask(this->executor, "review departed endpoints", this->ReviewDepartures(group),
              [group] { group->reviewing_departures = false; });
  }
  this->CheckMemberRecord(group);
  // Only daemons that reach the primary directly check whether it leaves or stalls, so that in a
  // large fleet not all daemons start a takeover at the same time.
  if (group->taking_over || this->stopping || primary->is_relayed()) {
    return;
  }
  if (primary->record().leaving) {
    group->taking_over = true;
    SpawnTask(this->executor, "run a takeover",
              this->RunTakeover(group, TakeoverReason::kPrimaryLeaving));
    return;
  }
  if (group->HasTakeoverInProgress() && !this->IsClaimed(*group)) {
    // The holder has died or is cut off. It may have left replicas paused or an order unanswered.
    group->taking_over = true;
    SpawnTask(this->executor, "finish a takeover",
              this->RunTakeover(group, TakeoverReason::kUnfinished));
    return;
  }
  TimePoint oldest = now;
  for (const auto& [connection, sent] : group->commits) {
    oldest = std::min(oldest, sent);
  }
  if (now - oldest > kCommitStallTimeout && now - group->primary_since > kNewPrimaryGrace) {
    group->taking_over = true;
    SpawnTask(this->executor, "run a takeover",
              this->RunTakeover(group, TakeoverReason::kReplicationStalled));
  }
}

asio::awaitable<void> TakeoverController::ProbeEndpoint(ServiceGroup* group,
                                                        std::shared_ptr<EndpointPool> pool) {
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
        co_await pool->SendOrder(EndpointOrder::kStatus, 0, kProbeTimeout, true);
        result->answers = true;
      } catch (const EndpointSessionError& error) {
        // An endpoint that closes an accepted connection is running, but has reached its connection
        // limit.
        result->answers |= error.kind == EndpointSessionError::Kind::kClosed;
        result->cause = error.what();
      } catch (const std::runtime_error& error) {
        result->answers = true;  // The endpoint answered with a refusal.
        result->cause = error.what();
      }
    }
    --result->pending;
    result->changed.NotifyAll();
  };
  const bool was_down = pool->down;
  result->pending = was_down ? 1 : kProbeAttempts;
  for (int number = 0; number < result->pending; ++number) {
    SpawnTask(this->executor, "probe an endpoint once",
              attempt(result, pool, number * kProbeStagger));
  }
  while (result->pending > 0 && !result->answers) {
    co_await result->changed.Wait(kProbeTimeout);
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
  pool->CloseAll();
  const bool was_primary = group->Primary() == pool;
  group->ClearPrimary(pool->record().id, "it does not answer on fresh connections");
  if (was_primary && !group->taking_over && !this->stopping) {
    group->taking_over = true;
    co_await this->RunTakeover(group, TakeoverReason::kPrimaryLost);
  }
}

// One round of status calls: a call to each member of a group, all at the same time.
struct TakeoverController::StatusRound {
  struct Query {
    std::shared_ptr<EndpointPool> pool;
    MemberStatus status;
    int pending = 0;  // Number of calls in progress: through a gateway, directly or both.
  };

  explicit StatusRound(asio::any_io_executor executor) : changed(std::move(executor)) {}

  // Returns the number of queries that have no answer yet but still have a call in progress.
  size_t PendingCount() const {
    return static_cast<size_t>(std::count_if(
        this->queries.begin(), this->queries.end(),
        [](const Query& query) { return query.pending > 0 && !query.status.reachable; }));
  }

  std::vector<Query> queries;
  WaitList changed;
};

asio::awaitable<void> TakeoverController::QueryStatus(std::shared_ptr<StatusRound> round,
                                                      size_t index,
                                                      Duration timeout,
                                                      bool fresh) {
  StatusRound::Query& query = round->queries[index];
  try {
    const EndpointReport report =
        co_await query.pool->SendOrder(EndpointOrder::kStatus, 0, timeout, fresh);
    ApplyReport(report, &query.status);
  } catch (const std::runtime_error& error) {
    // Only a direct call shows that the endpoint is not running: a gateway may lack the path to it.
    const auto* failure = dynamic_cast<const EndpointSessionError*>(&error);
    const bool no_connection =
        failure != nullptr && (failure->kind == EndpointSessionError::Kind::kTimeout ||
                               failure->kind == EndpointSessionError::Kind::kRefused);
    if (!no_connection && (fresh || !query.pool->UsesRelay())) {
      query.status.refused = true;
    }
    Log(LogLevel::kDebug, "status call failed",
        {{"endpoint", query.status.id}, {"fresh", fresh}, {"cause", error.what()}});
  }
  --query.pending;
  round->changed.NotifyAll();
}

asio::awaitable<std::vector<MemberStatus>> TakeoverController::CollectStatuses(ServiceGroup* group,
                                                                               Duration timeout) {
  const auto round = std::make_shared<StatusRound>(this->executor);
  for (const auto& [id, pool] : group->members) {
    StatusRound::Query query;
    query.pool = pool;
    query.status.id = id;
    query.status.leaving = pool->record().leaving;
    query.status.departed = pool->departed;
    // If the endpoint is down and gateways are available, it is queried twice, through a gateway
    // and directly, because either path may have recovered.
    query.pending = (pool->down || pool->departed) && pool->UsesRelay() ? 2 : 1;
    round->queries.push_back(std::move(query));
  }
  size_t down = 0;
  for (size_t index = 0; index < round->queries.size(); ++index) {
    const StatusRound::Query& query = round->queries[index];
    down += query.pool->down ? 1 : 0;
    SpawnTask(this->executor, "query an endpoint", this->QueryStatus(round, index, timeout, false));
    if (query.pending > 1) {
      SpawnTask(this->executor, "query an endpoint directly",
                this->QueryStatus(round, index, timeout, true));
    }
  }
  const TimePoint deadline = BootNow() + timeout;
  while (round->PendingCount() > down && BootNow() < deadline) {
    co_await round->changed.Wait(timeout);
  }
  // Calls to endpoints that are down usually last for the whole timeout. Once all other endpoints
  // have answered, the round therefore waits for only a part of that time.
  const bool recent = group->outage_since && BootNow() - *group->outage_since < kRecentOutage;
  const TimePoint down_deadline =
      std::min(deadline, BootNow() + (recent ? kDownMemberWait : kRecoveredMemberWait));
  while (round->PendingCount() > 0 && BootNow() < down_deadline) {
    co_await round->changed.Wait(down_deadline - BootNow());
  }
  std::vector<MemberStatus> statuses;
  for (const StatusRound::Query& query : round->queries) {
    statuses.push_back(query.status);
  }
  co_return statuses;
}

asio::awaitable<void> TakeoverController::FindPrimary(ServiceGroup* group) {
  const TimePoint started = BootNow();
  const bool is_follower = !this->cluster->relays().plan().IsWatcher();
  if (is_follower && this->cluster->groups().size() > kMaxServicesForEarlySearch) {
    co_await Pause(kFollowerSearchInterval + RandomDuration(&this->random, kFollowerSearchJitter));
  }
  while (group->Primary() == nullptr && group->HasRegisteredMember()) {
    const auto statuses = co_await this->CollectStatuses(group, kStatusTimeout);
    const MemberStatus* newest_primary = nullptr;
    for (const MemberStatus& status : statuses) {
      if (status.reachable && status.is_primary && !status.departed &&
          (newest_primary == nullptr || status.term > newest_primary->term)) {
        newest_primary = &status;
      }
    }
    if (newest_primary != nullptr && newest_primary->term >= group->term) {
      group->SetPrimary(newest_primary->id, newest_primary->term, "status");
      break;
    }
    // This daemon may take over only if it has itself found the former primary to be down, or if
    // the former primary answers that it does not lead. Otherwise it may merely have lost the path
    // to the former primary's gateways. Unless the former primary is down, this daemon must have
    // connections of its own to some member of the group.
    const auto former = this->cluster->FindEndpoint(group->old_primary);
    const bool former_registered = former != nullptr && !former->departed;
    const bool former_may_lead =
        former_registered &&
        std::none_of(statuses.begin(), statuses.end(), [group](const MemberStatus& status) {
          return status.id == group->old_primary && status.reachable && !status.is_primary;
        });
    const bool sees_outage = former_may_lead ? former->down : IsGatewayOfAny(*group);
    const bool may_take_over =
        sees_outage && !group->taking_over && !this->stopping && !this->IsClaimed(*group);
    if (may_take_over && BootNow() - started > kNoPrimaryTimeout) {
      group->taking_over = true;
      co_await this->RunTakeover(group, group->old_primary.empty() ? TakeoverReason::kNoPrimary
                                                                   : TakeoverReason::kPrimaryLost);
    }
    const bool is_watcher = this->cluster->relays().plan().IsWatcher();
    co_await Pause(is_watcher ? kPrimarySearchInterval
                              : kFollowerSearchInterval +
                                    RandomDuration(&this->random, kFollowerSearchJitter));
  }
}

}  // namespace poplarmoor
