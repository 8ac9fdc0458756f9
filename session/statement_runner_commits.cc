// Commits of StatementRunner: when they may be sent, and when they may be acknowledged.
#include <algorithm>

#include "session/boot_clock.h"
#include "session/statement_runner.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Interval at which a write that waits for commits to be confirmed checks whether they are.
constexpr Duration kStallCheckInterval = 50ms;

}  // namespace

void StatementRunner::NoteCommit(SessionState* state, const StatementAnswer& answer) {
  if (answer.position) {
    state->last_commit = std::max(state->last_commit, *answer.position);
    state->last_commit_time = BootNow();
  }
}

asio::awaitable<bool> StatementRunner::MayCommit(const StatementJob& job, ServiceGroup* group) {
  for (;;) {
    const Duration stall = group->ExpectedCommitStall();
    if (stall == Duration{}) {
      co_return true;
    }
    if (stall > job.TimeLeft()) {
      co_return false;
    }
    co_await group->statuses_changed.Wait(std::min<Duration>(job.TimeLeft(), kStallCheckInterval));
  }
}

asio::awaitable<bool> StatementRunner::IsSafe(const StatementJob& job,
                                              ServiceGroup* group,
                                              std::shared_ptr<EndpointPool> pool,
                                              const StatementAnswer& answer) {
  if (!answer.position) {
    Log(LogLevel::kWarn, "commit acknowledged without a position",
        {{"service", group->name}, {"endpoint", pool->record().id}, {"statement", job.id}});
    co_return false;
  }
  const TimePoint started = BootNow();
  const CommitVerdict verdict =
      co_await this->verifier.Verify(group, pool->record().id, *answer.position, job.TimeLeft());
  this->metrics->Add(Metric::kCommitChecks, {group->name, kCommitVerdictNames.NameOf(verdict)});
  this->metrics->Observe(Metric::kCommitCheckSeconds, {group->name}, BootNow() - started);
  co_return verdict == CommitVerdict::kSafe;
}

}  // namespace poplarmoor
