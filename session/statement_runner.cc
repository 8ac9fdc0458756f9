#include "session/statement_runner.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/verdict.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/session_codec.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// A request for the primary's log position waits up to this time for a connection, and then up to
// this time for its answer.
constexpr Duration kEvidenceTimeout = 500ms;
// Time subtracted from a route's staleness bound, because scheduling delays make a statement's
// recorded arrival time inexact.
constexpr Duration kStalenessMargin = 50ms;
// An unanswered read is repeated at another endpoint after kMinReadTimeout plus kReadTimeoutFactor
// times the usual time of a statement at the first endpoint.
constexpr Duration kMinReadTimeout = 300ms;
constexpr int kReadTimeoutFactor = 5;
// A read is tried at all suitable endpoints in turn. After this number of unsuccessful passes over
// the endpoints, the read must run at the primary.
constexpr int kReadRounds = 4;
// Once a statement's attempt log is longer than this number of bytes, no further attempt is added:
// a whole log line has at most 4096 bytes.
constexpr size_t kMaxAttemptLogSize = 1000;
// Time for which other endpoints are preferred after an endpoint was unreachable; about the time
// that a reconnection takes.
constexpr Duration kUnreachablePause = 100ms;

}  // namespace

Duration StatementJob::TimeLeft() const {
  return std::max<Duration>(this->deadline - BootNow(), 1ms);
}

// -----------------------------------------------------------------------------
// Sending one statement

asio::awaitable<StatementAttempt> StatementRunner::Send(StatementJob* job,
                                                        Opening opening,
                                                        LogPosition demanded,
                                                        const SessionState& state,
                                                        ServiceGroup* group,
                                                        std::shared_ptr<EndpointPool> pool,
                                                        EndpointLease* lease,
                                                        Duration limit) {
  if (!this->MayRun(job, state)) {
    StatementAttempt refused;
    refused.failure = AcquireFailure::kOverloaded;
    refused.cause = job->refusal->cause;
    co_return refused;
  }
  ++job->attempts;
  const bool continues = lease->transaction && opening == Opening::kNone;
  if (pool->departed || (!continues && !this->cluster->TakesStatements(*pool))) {
    // The endpoint has left, or its drain bound is near, since the statement waited for it or its
    // transaction began. Open transactions go on at a replica that leaves.
    StatementAttempt refused;
    refused.cause = "the endpoint takes no more statements";
    co_return refused;
  }
  EndpointChannel* channel = lease->connection.get();
  StatementSpec spec;
  spec.id = job->id;
  spec.text = job->text;
  spec.prepared = job->prepared;
  spec.opening = opening;
  spec.demanded = demanded;
  spec.repeatable = !job->commits;
  spec.access = &this->cluster->access();
  const TimePoint sent = BootNow();
  pool->OnSent(channel);
  if (job->commits) {
    group->commits[channel] = sent;
  }
  StatementAttempt attempt = co_await channel->Run(spec, state, limit);
  pool->OnAnswered(channel);
  group->commits.erase(channel);
  if (attempt.outcome == Outcome::kNotSent &&
      attempt.answer.error == StatementError::kUnauthorised) {
    // The gateway's configuration is newer than this daemon's.
    job->refusal = AccessRefusal{AccessVerdict::kUnknownKey, StatementError::kUnauthorised,
                                 "gateway: " + attempt.cause};
    this->cluster->access().NoteRefusal("statement", state.organisation, job->id, *job->refusal);
    attempt.answer.error.reset();
  }
  job->setup += attempt.setup;
  job->running += BootNow() - sent - attempt.setup;
  pool->suspected = pool->suspected || attempt.connection_failed;
  if (attempt.opening_position) {
    group->freshness.Record(sent, *attempt.opening_position);
  }
  if (attempt.relayed_position) {
    group->freshness.Record(sent - attempt.relayed_age, *attempt.relayed_position);
  }
  if (job->commits && attempt.outcome == Outcome::kAnswered && !attempt.answer.error &&
      attempt.answer.position) {
    group->freshness.Record(sent, *attempt.answer.position);
  }
  if (attempt.failure == AcquireFailure::kUnreachable) {
    pool->suspected = true;
    pool->avoid_until = BootNow() + kUnreachablePause;
    if (pool->UsesRelay()) {
      group->ClearPrimary(pool->record().id, "none of the gateways that were asked can reach it");
    }
  }
  co_return attempt;
}

void StatementRunner::NoteRefusal(EndpointPool* pool, StatementError error) {
  if (error == StatementError::kOverloaded) {
    pool->avoid_until = BootNow() + kMinOverloadPause;
    pool->NoteOverload();
  }
}

StatementAnswer StatementRunner::Fail(const StatementJob& job,
                                      StatementError error,
                                      std::string_view cause,
                                      const EndpointPool* pool) {
  const bool was_logged = job.refusal && HasNotRun(error);
  if (was_logged) {
    cause = job.refusal->cause;
    error = job.refusal->error == StatementError::kUnauthorised ? job.refusal->error : error;
  } else {
    Log(LogLevel::kWarn, "statement not served",
        {{"request_id", job.id},
         {"service", job.route->service},
         {"route", job.route->name},
         {"rank", job.route->rank},
         {"writes", job.writes},
         {"outcome", kStatementErrorNames.NameOf(error)},
         {"cause", cause},
         {"attempts", job.attempt_log},
         {"endpoint", pool == nullptr ? "" : pool->record().id},
         {"queued_ms", ToMillis(job.queued)},
         {"running_ms", ToMillis(job.running)},
         {"elapsed_ms", ToMillis(BootNow() - job.arrived)},
         {"config_version", this->cluster->routes().version}});
  }
  this->CountAnswer(job, error);
  StatementAnswer answer;
  answer.error = error;
  answer.error_text = cause;
  return answer;
}

void StatementRunner::NoteAttempt(StatementJob* job,
                                  const EndpointPool& pool,
                                  std::optional<Duration> evidence_age,
                                  std::string_view cause) {
  this->metrics->Add(Metric::kRetries, {pool.record().service, "attempt_failed"});
  if (job->attempt_log.size() > kMaxAttemptLogSize) {
    return;
  }
  job->attempt_log += job->attempt_log.empty() ? "" : "; ";
  job->attempt_log += pool.record().id;
  if (evidence_age) {
    job->attempt_log += " evidence_ms=" + std::to_string(ToMillis(*evidence_age));
  }
  job->attempt_log += " at_ms=" + std::to_string(ToMillis(BootNow() - job->arrived)) + " ";
  job->attempt_log += cause;
}

void StatementRunner::CountAnswer(const StatementJob& job, std::optional<StatementError> error) {
  Verdict verdict = Verdict::kRan;
  if (error && HasNotRun(*error)) {
    verdict = Verdict::kNotRun;
  } else if (error == StatementError::kInDoubt || error == StatementError::kTimeout) {
    verdict = Verdict::kMayHaveRun;
  }
  const std::string rank = std::to_string(job.route->rank);
  this->metrics->Add(Metric::kRequests, {job.route->service, rank, kVerdictNames.NameOf(verdict),
                                         error ? kStatementErrorNames.NameOf(*error) : "none"});
  this->metrics->Observe(Metric::kRequestSeconds, {job.route->service, rank},
                         BootNow() - job.arrived);
}

void StatementRunner::NoteServed(const StatementJob& job, const EndpointPool& pool) {
  const Duration elapsed = BootNow() - job.arrived;
  this->CountAnswer(job, std::nullopt);
  if (!job.writes) {
    const ServiceGroup* group = this->cluster->FindGroup(job.route->service);
    const bool primary = group != nullptr && group->Primary().get() == &pool;
    this->metrics->Add(Metric::kReads, {job.route->service, primary ? "primary" : "replica"});
  }
  if (elapsed <= job.route->latency_objective) {
    return;
  }
  Log(LogLevel::kInfo, "statement late",
      {{"request_id", job.id},
       {"service", job.route->service},
       {"route", job.route->name},
       {"rank", job.route->rank},
       {"writes", job.writes},
       {"endpoint", pool.record().id},
       {"elapsed_ms", ToMillis(elapsed)},
       {"queued_ms", ToMillis(job.queued)},
       {"setup_ms", ToMillis(job.setup)},
       {"running_ms", ToMillis(job.running)},
       {"tries", job.attempts},
       {"attempts", job.attempt_log}});
}

asio::awaitable<EndpointLease> StatementRunner::Acquire(StatementJob* job,
                                                        std::shared_ptr<EndpointPool> pool,
                                                        bool transaction,
                                                        const SessionState& state) {
  const TimePoint begun = BootNow();
  EndpointLease lease;
  lease.failure = AcquireFailure::kOverloaded;
  if (this->MayRun(job, state)) {
    lease = co_await this->AwaitLease(pool, *job, transaction, state);
    if (lease.connection == nullptr) {
      this->MayRun(job, state);  // Records the refusal if the key was withdrawn during the wait.
    }
  }
  job->queued += BootNow() - begun;
  co_return lease;
}

void StatementRunner::RollBackAndRelease(std::shared_ptr<EndpointPool> pool, EndpointLease lease) {
  if (lease.connection == nullptr || !lease.connection->is_open()) {
    pool->Release(std::move(lease));
    return;
  }
  const auto work = [](std::shared_ptr<EndpointPool> pool,
                       EndpointLease lease) -> asio::awaitable<void> {
    co_await lease.connection->RollBack();
    pool->Release(std::move(lease));
  };
  asio::co_spawn(pool->io_executor(), work(pool, std::move(lease)), asio::detached);
}

// -----------------------------------------------------------------------------
// Connections to the primary

asio::awaitable<StatementRunner::PrimaryLease> StatementRunner::LeasePrimary(
    StatementJob* job,
    ServiceGroup* group,
    bool transaction,
    const SessionState& state,
    std::string last_cause) {
  PrimaryLease result;
  result.cause = std::move(last_cause);
  while (group != nullptr && job->deadline - BootNow() > 1ms) {
    if (!this->MayRun(job, state)) {
      break;
    }
    result.pool = co_await this->AwaitPrimary(group, job->TimeLeft(), state);
    if (result.pool == nullptr) {
      this->MayRun(job, state);  // Records the refusal if the key was withdrawn during the wait.
      result.cause = "no primary is expected in time; last: " + result.cause;
      break;
    }
    result.lease = co_await this->Acquire(job, result.pool, transaction, state);
    if (result.lease.connection != nullptr) {
      break;
    }
    result.cause = kAcquireFailureNames.NameOf(result.lease.failure);
    this->NoteAttempt(job, *result.pool, std::nullopt, result.cause);
    if (result.lease.failure == AcquireFailure::kOverloaded) {
      break;
    }
    co_await Pause(kMinOverloadPause);
  }
  co_return result;
}

asio::awaitable<void> StatementRunner::HandlePrimaryFailure(StatementJob* job,
                                                            ServiceGroup* group,
                                                            std::shared_ptr<EndpointPool> pool,
                                                            std::optional<StatementError> error,
                                                            std::string cause) {
  this->NoteAttempt(job, *pool, std::nullopt, cause);
  if (error == StatementError::kReadOnly) {
    group->ClearPrimary(pool->record().id, "it refused a statement that only the primary runs");
    co_return;
  }
  if (error) {
    this->NoteRefusal(pool.get(), *error);
  }
  co_await Pause(std::min<Duration>(RetryPause(job->retries++), job->TimeLeft()));
}

Duration StatementRunner::RetryPause(int retries) {
  return std::min(kMinOverloadPause * (1 << std::min(retries, kMaxPauseDoublings)),
                  kMaxOverloadPause);
}

Duration StatementRunner::ReadTimeout(const StatementJob& job, const EndpointPool& pool) {
  return std::min<Duration>(
      job.TimeLeft(), kMinReadTimeout + kReadTimeoutFactor * pool.queue().SmoothedStatementTime());
}

// -----------------------------------------------------------------------------
// Statements outside transactions

asio::awaitable<StatementAnswer> StatementRunner::Run(StatementJob job, SessionState* state) {
  if (job.writes || job.route->consistency == Consistency::kPrimary) {
    co_return co_await this->RunAtPrimary(std::move(job), state);
  }
  co_return co_await this->RunRead(std::move(job), state);
}

std::optional<FreshnessEvidence> StatementRunner::EvidenceToDemand(const StatementJob& job,
                                                                   const SessionState& state,
                                                                   ServiceGroup* group) {
  const Duration bound = job.route->max_staleness;
  this->RefreshEvidence(group, bound / 2);
  auto demand = group->freshness.RequiredPosition(job.arrived - bound + kStalenessMargin);
  if (demand && job.route->consistency == Consistency::kOwnWrites &&
      state.last_commit > demand->position) {
    demand = FreshnessEvidence{state.last_commit_time, state.last_commit};
  }
  return demand;
}

asio::awaitable<StatementAnswer> StatementRunner::RunRead(StatementJob job, SessionState* state) {
  ServiceGroup* group = this->cluster->FindGroup(job.route->service);
  if (group == nullptr) {
    co_return this->Fail(job, StatementError::kOverloaded, "the service has no endpoint", nullptr);
  }
  std::string cause = "no endpoint is fresh enough";
  const EndpointPool* last = nullptr;
  for (int round = 0; round < kReadRounds; ++round) {
    const auto demand = this->EvidenceToDemand(job, *state, group);
    if (!demand) {
      break;
    }
    const auto order = group->EndpointsForRead(this->cluster->failure_domain(),
                                               BootNow() - demand->sent, state->organisation);
    for (const auto& pool : order) {
      const Duration left = job.deadline - BootNow();
      if (left <= 1ms) {
        co_return this->Fail(job, StatementError::kOverloaded, "deadline: " + cause, last);
      }
      last = pool.get();
      EndpointLease lease = co_await this->Acquire(&job, pool, false, *state);
      if (lease.connection == nullptr) {
        cause = kAcquireFailureNames.NameOf(lease.failure);
        const bool shed = lease.failure == AcquireFailure::kOverloaded && pool == group->Primary();
        if (shed || job.refusal) {
          co_return this->Fail(job, StatementError::kOverloaded, cause, last);
        }
        continue;
      }
      // The last endpoint that the read tries may use all the time left: when no other endpoint
      // remains, waiting for a slow answer is better than queueing the read a second time.
      const Duration read_timeout = pool == order.back() ? job.TimeLeft() : ReadTimeout(job, *pool);
      StatementAttempt attempt = co_await this->Send(&job, Opening::kNone, demand->position, *state,
                                                     group, pool, &lease, read_timeout);
      pool->Release(std::move(lease));
      if (attempt.outcome != Outcome::kAnswered) {
        cause = attempt.cause;
        this->NoteAttempt(&job, *pool, BootNow() - demand->sent, cause);
        if (job.refusal || (WasShed(attempt) && pool == group->Primary())) {
          co_return this->Fail(job, StatementError::kOverloaded, cause, last);
        }
        continue;
      }
      if (!attempt.answer.error) {
        pool->NoteCaughtUp(BootNow() - demand->sent);
        this->NoteServed(job, *pool);
        co_return attempt.answer;
      }
      if (*attempt.answer.error == StatementError::kBehind) {
        pool->NoteBehind(BootNow() - demand->sent);
      }
      if (!HasNotRun(*attempt.answer.error)) {
        co_return this->Fail(job, *attempt.answer.error, attempt.answer.error_text, last);
      }
      this->NoteRefusal(pool.get(), *attempt.answer.error);
      cause = kStatementErrorNames.NameOf(*attempt.answer.error);
      this->NoteAttempt(&job, *pool, BootNow() - demand->sent, cause);
    }
    co_await Pause(std::min<Duration>(RetryPause(round), job.TimeLeft()));
  }
  // The primary serves the read when no recent log position of the primary is known or when no
  // endpoint has served the read, for example because all replicas are behind.
  co_return co_await this->RunAtPrimary(std::move(job), state);
}

asio::awaitable<StatementAnswer> StatementRunner::RunAtPrimary(StatementJob job,
                                                               SessionState* state) {
  ServiceGroup* group = this->cluster->FindGroup(job.route->service);
  job.commits = job.writes;
  // A read runs inside a writable transaction here: an endpoint that is no longer the primary
  // refuses a read inside a writable transaction, but would serve one outside.
  const Opening opening = job.writes ? Opening::kNone : Opening::kWritable;
  std::string cause = "no primary is known";
  for (;;) {
    if (job.writes && group != nullptr) {
      const bool may_commit = co_await this->MayCommit(job, group);
      if (!may_commit) {
        co_return this->Fail(job, StatementError::kOverloaded, kNoCommits, nullptr);
      }
    }
    PrimaryLease primary = co_await this->LeasePrimary(&job, group, false, *state, cause);
    const auto pool = primary.pool;
    if (primary.lease.connection == nullptr) {
      co_return this->Fail(job, StatementError::kOverloaded, primary.cause, pool.get());
    }
    StatementAttempt attempt = co_await this->Send(&job, opening, LogPosition{}, *state, group,
                                                   pool, &primary.lease, job.TimeLeft());
    const bool answered = attempt.outcome == Outcome::kAnswered;
    if (answered && !job.writes) {
      this->RollBackAndRelease(pool, std::move(primary.lease));
      attempt.answer.state = TransactionState::kNone;
    } else {
      pool->Release(std::move(primary.lease));
    }
    if (attempt.outcome == Outcome::kLost && job.writes) {
      co_return this->Fail(job, StatementError::kInDoubt, attempt.cause, pool.get());
    }
    const auto error = attempt.answer.error;
    if (answered && !error) {
      if (job.writes) {
        const bool safe = co_await this->IsSafe(job, group, pool, attempt.answer);
        if (!safe) {
          co_return this->Fail(job, StatementError::kInDoubt, kUnconfirmedCommit, pool.get());
        }
        this->NoteCommit(state, attempt.answer);
      }
      this->NoteServed(job, *pool);
      co_return attempt.answer;
    }
    if (error && !HasNotRun(*error)) {
      co_return this->Fail(job, *error, attempt.answer.error_text, pool.get());
    }
    cause = error ? std::string(kStatementErrorNames.NameOf(*error)) : attempt.cause;
    if (WasShed(attempt)) {
      co_return this->Fail(job, StatementError::kOverloaded, cause, pool.get());
    }
    co_await this->HandlePrimaryFailure(&job, group, pool, error, cause);
  }
}

bool StatementRunner::WasShed(const StatementAttempt& attempt) {
  return attempt.outcome == Outcome::kNotSent && !attempt.answer.error &&
         attempt.failure == AcquireFailure::kOverloaded;
}

void StatementRunner::RefreshEvidence(ServiceGroup* group, Duration max_age) {
  const auto newest = group->freshness.Newest();
  const auto pool = group->Primary();
  if (group->refreshing || pool == nullptr || (newest && BootNow() - newest->sent < max_age)) {
    return;
  }
  const auto work = [](StatementRunner* self, ServiceGroup* group,
                       std::shared_ptr<EndpointPool> pool) -> asio::awaitable<void> {
    const SessionState none;
    StatementJob job;
    EndpointLease lease = co_await pool->Acquire(0, false, kEvidenceTimeout, none);
    if (lease.connection != nullptr) {
      const StatementAttempt attempt = co_await self->Send(
          &job, Opening::kWritable, LogPosition{}, none, group, pool, &lease, kEvidenceTimeout);
      if (attempt.answer.error == StatementError::kReadOnly) {
        group->ClearPrimary(pool->record().id, "it refused a writable transaction");
      }
      self->RollBackAndRelease(pool, std::move(lease));
    }
    group->refreshing = false;
  };
  group->refreshing = true;
  asio::co_spawn(pool->io_executor(), work(this, group, pool), asio::detached);
}

}  // namespace poplarmoor
