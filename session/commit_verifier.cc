#include "session/commit_verifier.h"

#include <algorithm>

#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Time limit of one status call.
constexpr Duration kStatusTimeout = 250ms;
// If the member that is asked first has not shown the commit after this time, all are asked.
constexpr Duration kFirstMemberTime = 40ms;
// Pause before the next status call to a member whose log has not grown; doubled each time.
constexpr Duration kMinStatusPause = 5ms;
constexpr Duration kMaxStatusPause = 160ms;
// Longest wait between two looks at the statuses.
constexpr Duration kCheckInterval = 10ms;
// Time for which the members are asked on behalf of no commit after one was not confirmed.
constexpr Duration kReconfirmTime = 5s;

std::string DescribeWitnesses(const CommitView& view) {
  std::string text;
  for (const CommitWitness& witness : view.witnesses) {
    text += (text.empty() ? "" : ", ") + witness.id;
    text += witness.answered ? " " + std::to_string(witness.received.term) + "." +
                                   std::to_string(witness.received.index)
                             : " no answer";
    text += witness.continuous ? "" : " may have restarted";
  }
  return text;
}

}  // namespace

CommitView CommitVerifier::MakeView(const ServiceGroup& group,
                                    const std::string& primary,
                                    LogPosition position) {
  CommitView view;
  view.primary = primary;
  view.position = position;
  const auto service = this->cluster->routes().services.find(group.name);
  if (service != this->cluster->routes().services.end()) {
    view.replicas = service->second.synchronous_replicas;
  }
  view.candidates = group.PendingCandidates(primary, position.term);
  view.has_record = !group.claim.members.empty();
  for (const auto& [id, pool] : group.members) {
    const bool recorded =
        !view.has_record ||
        std::any_of(group.claim.members.begin(), group.claim.members.end(),
                    [&id = id](const TakeoverMember& member) { return member.id == id; });
    if (!recorded || id == primary) {
      continue;
    }
    const auto& report = pool->last_report;
    CommitWitness witness;
    witness.id = id;
    witness.answered = report.has_value();
    if (report) {
      witness.received = report->received;
      // Other daemons may already have forgotten a departed member.
      witness.continuous =
          !pool->departed && group.calm_at && report->connected_since < *group.calm_at;
    }
    view.witnesses.push_back(std::move(witness));
  }
  return view;
}

asio::awaitable<CommitVerdict> CommitVerifier::Verify(ServiceGroup* group,
                                                      std::string primary,
                                                      LogPosition position,
                                                      Duration limit) {
  const TimePoint started = BootNow();
  const auto waiting = group->unconfirmed.insert(started);
  group->term = std::max(group->term, position.term);
  CommitView view;
  CommitVerdict verdict = CommitVerdict::kUnknown;
  for (;;) {
    view = this->MakeView(*group, primary, position);
    verdict = view.replicas == 0 ? CommitVerdict::kSafe : JudgeCommit(view);
    const Duration elapsed = BootNow() - started;
    if (verdict == CommitVerdict::kUnknown && elapsed >= kFirstMemberTime &&
        group->old_primary != primary) {
      verdict = CommitVerdict::kSuperseded;
    }
    if (verdict != CommitVerdict::kUnknown || elapsed >= limit) {
      break;
    }
    this->AskMembers(group, view, elapsed);
    co_await group->statuses_changed.Wait(std::min<Duration>(limit - elapsed, kCheckInterval));
  }
  group->unconfirmed.erase(waiting);
  if (verdict != CommitVerdict::kSafe) {
    std::string candidates;
    for (const std::string& candidate : view.candidates) {
      candidates += (candidates.empty() ? "" : " ") + candidate;
    }
    Log(LogLevel::kWarn, "commit not confirmed",
        {{"service", group->name},
         {"primary", primary},
         {"position", std::to_string(position.term) + "." + std::to_string(position.index)},
         {"verdict", kCommitVerdictNames.NameOf(verdict)},
         {"phase", kTakeoverPhaseNames.NameOf(group->claim.phase)},
         {"candidates", candidates},
         {"witnesses", DescribeWitnesses(view)},
         {"calm_ms", group->calm_at ? ToMillis(BootNow() - *group->calm_at) : -1},
         {"waited_ms", ToMillis(BootNow() - started)}});
  }
  if (verdict == CommitVerdict::kUnknown && !group->reconfirming) {
    this->Reconfirm(group, std::move(primary), position);
  }
  co_return verdict;
}

void CommitVerifier::Reconfirm(ServiceGroup* group, std::string primary, LogPosition position) {
  const auto pool = this->cluster->FindEndpoint(primary);
  if (pool == nullptr) {
    return;
  }
  const auto work = [](CommitVerifier* self, ServiceGroup* group, std::string primary,
                       LogPosition position) -> asio::awaitable<void> {
    co_await self->Verify(group, std::move(primary), position, kReconfirmTime);
  };
  group->reconfirming = true;
  SpawnTask(pool->io_executor(), "confirm a commit again", work(this, group, primary, position),
            [group] { group->reconfirming = false; });
}

void CommitVerifier::AskMembers(ServiceGroup* group, const CommitView& view, Duration elapsed) {
  const TimePoint now = BootNow();
  // A member that may have restarted shows the commit only together with all other members.
  const bool needs_all =
      elapsed >= kFirstMemberTime ||
      std::any_of(view.witnesses.begin(), view.witnesses.end(), [&view](const auto& witness) {
        return witness.HasReceived(view.position) && !witness.continuous;
      });
  std::shared_ptr<EndpointPool> preferred;
  bool asking = false;
  for (const CommitWitness& witness : view.witnesses) {
    const std::shared_ptr<EndpointPool> pool = group->members.at(witness.id);
    const bool is_candidate = std::find(view.candidates.begin(), view.candidates.end(),
                                        witness.id) != view.candidates.end();
    asking |= pool->asking_status;
    if (pool->asking_status || now < pool->next_status || witness.HasReceived(view.position)) {
      continue;
    }
    if (needs_all || is_candidate) {
      AskMember(group, pool);
    } else if (!pool->down && !pool->departed &&
               (preferred == nullptr || preferred->busy() > pool->busy())) {
      preferred = pool;
    }
  }
  if (!needs_all && !asking && view.candidates.empty() && preferred != nullptr) {
    AskMember(group, preferred);
  }
  if (needs_all && elapsed >= kFirstMemberTime) {
    this->cluster->RefreshClaim(group);
  }
}

void CommitVerifier::AskMember(ServiceGroup* group, std::shared_ptr<EndpointPool> pool) {
  const auto ask = [](ServiceGroup* group,
                      std::shared_ptr<EndpointPool> pool) -> asio::awaitable<void> {
    try {
      const EndpointReport report = co_await pool->QueryStatus(kStatusTimeout);
      const bool has_grown = !pool->last_report || report.received != pool->last_report->received;
      pool->status_pause = has_grown ? Duration{} : pool->status_pause;
      pool->last_report = report;
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kDebug, "status call failed",
          {{"service", group->name}, {"endpoint", pool->record().id}, {"cause", error.what()}});
    }
    pool->next_status = BootNow() + pool->status_pause;
    pool->status_pause = std::clamp(pool->status_pause * 2, kMinStatusPause, kMaxStatusPause);
    pool->asking_status = false;
    group->statuses_changed.NotifyAll();
  };
  pool->asking_status = true;
  SpawnTask(pool->io_executor(), "ask a member for its log position", ask(group, pool));
}

}  // namespace poplarmoor
