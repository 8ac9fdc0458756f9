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

// Of a request for the primary's position.
constexpr Duration kEvidenceLimit = 500ms;
// The time of a caller's first byte is known only up to scheduling delays.
constexpr Duration kStalenessMargin = 50ms;
// An endpoint with a full queue is left alone for about the time of one statement.
constexpr Duration kOverloadPause = 20ms;
// A read whose answer is lost is repeated elsewhere after this time and several usual ones.
constexpr Duration kMinReadPatience = 300ms;
constexpr int kReadPatienceFactor = 5;
constexpr size_t kMaxTrail = 1000;  // Bytes of a statement's trail; a log line has at most 4096.
// An endpoint without a gateway that answers is left alone for about the time of a reconnect.
constexpr Duration kUnreachablePause = 100ms;

Duration TimeLeft(const StatementJob& job) {
  return std::max<Duration>(job.deadline - BootNow(), 1ms);
}

bool ChangesNothing(StatementError error) {
  switch (error) {
    case StatementError::kOverloaded:
    case StatementError::kBehind:
    case StatementError::kReadOnly:
    case StatementError::kUnknownStatement:
    case StatementError::kAborted:
    case StatementError::kWrongEndpoint:
    case StatementError::kTooManyConnections:
      return true;
    default:
      return false;
  }
}

}  // namespace

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
  ++job->attempts;
  EndpointChannel* channel = lease->connection.get();
  StatementSpec spec;
  spec.id = job->id;
  spec.text = job->text;
  spec.prepared = job->prepared;
  spec.opening = opening;
  spec.demanded = demanded;
  const TimePoint sent = BootNow();
  pool->OnSent(channel);
  if (job->commits) {
    group->commits[channel] = sent;
  }
  StatementAttempt attempt = co_await channel->Run(spec, state, limit);
  pool->OnAnswered(channel);
  group->commits.erase(channel);
  job->setup += attempt.setup;
  job->running += BootNow() - sent - attempt.setup;
  pool->suspected = pool->suspected || attempt.connection_failed;
  if (attempt.opened_at) {
    group->freshness.Record(sent, *attempt.opened_at);
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
    if (pool->down) {
      group->LosePrimary(pool->record().id, "no daemon that was asked reaches it");
    }
  }
  co_return attempt;
}

void StatementRunner::NoteRefusal(EndpointPool* pool, StatementError error) {
  if (error == StatementError::kOverloaded) {
    pool->avoid_until = BootNow() + kOverloadPause;
  }
}

void StatementRunner::NoteCommit(SessionState* state, const StatementAnswer& answer) {
  if (answer.position) {
    state->last_commit = std::max(state->last_commit, *answer.position);
    state->last_commit_time = BootNow();
  }
}

StatementAnswer StatementRunner::Fail(const StatementJob& job,
                                      StatementError error,
                                      std::string_view cause,
                                      const EndpointPool* pool) {
  Log(LogLevel::kWarn, "statement not served",
      {{"request_id", job.id},
       {"service", job.route->service},
       {"route", job.route->name},
       {"rank", job.route->rank},
       {"writes", job.writes},
       {"outcome", kStatementErrorNames.NameOf(error)},
       {"cause", cause},
       {"attempts", job.trail},
       {"endpoint", pool == nullptr ? "" : pool->record().id},
       {"queued_ms", ToMillis(job.queued)},
       {"running_ms", ToMillis(job.running)},
       {"elapsed_ms", ToMillis(BootNow() - job.arrived)},
       {"config_version", this->cluster->routes().version}});
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
  if (job->trail.size() > kMaxTrail) {
    return;
  }
  job->trail += job->trail.empty() ? "" : "; ";
  job->trail += pool.record().id;
  if (evidence_age) {
    job->trail += " evidence_ms=" + std::to_string(ToMillis(*evidence_age));
  }
  job->trail += " at_ms=" + std::to_string(ToMillis(BootNow() - job->arrived)) + " ";
  job->trail += cause;
}

void StatementRunner::CountAnswer(const StatementJob& job, std::optional<StatementError> error) {
  Verdict verdict = Verdict::kRan;
  if (error && ChangesNothing(*error)) {
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
  if (elapsed <= job.route->objective) {
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
       {"attempts", job.trail}});
}

asio::awaitable<EndpointLease> StatementRunner::Acquire(StatementJob* job,
                                                        std::shared_ptr<EndpointPool> pool,
                                                        bool transaction,
                                                        const SessionState& state) {
  const TimePoint begun = BootNow();
  EndpointLease lease =
      co_await pool->Acquire(job->route->rank, transaction, TimeLeft(*job), state);
  job->queued += BootNow() - begun;
  co_return lease;
}

void StatementRunner::CleanUp(std::shared_ptr<EndpointPool> pool, EndpointLease lease) {
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
// Statements outside transactions

asio::awaitable<StatementAnswer> StatementRunner::Run(StatementJob job, SessionState* state) {
  if (job.writes || job.route->consistency == Consistency::kPrimary) {
    co_return co_await this->RunAtPrimary(std::move(job), state);
  }
  co_return co_await this->RunRead(std::move(job), state);
}

std::optional<FreshnessEvidence> StatementRunner::DemandFor(const StatementJob& job,
                                                            const SessionState& state,
                                                            ServiceGroup* group) {
  const Duration bound = job.route->max_staleness;
  this->RefreshEvidence(group, bound / 2);
  auto demand = group->freshness.Demand(job.arrived - bound + kStalenessMargin);
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
  for (int round = 0; round < 4; ++round) {
    const auto demand = this->DemandFor(job, *state, group);
    if (!demand) {
      break;
    }
    bool tried = false;
    for (const auto& pool :
         group->ReadOrder(this->cluster->failure_domain(), BootNow() - demand->sent)) {
      const Duration left = job.deadline - BootNow();
      if (left <= 1ms) {
        co_return this->Fail(job, StatementError::kOverloaded, "deadline: " + cause, last);
      }
      last = pool.get();
      EndpointLease lease = co_await this->Acquire(&job, pool, false, *state);
      if (lease.connection == nullptr) {
        cause = kAcquireFailureNames.NameOf(lease.failure);
        continue;
      }
      const Duration patience = std::min<Duration>(
          TimeLeft(job), kMinReadPatience + kReadPatienceFactor * pool->queue().ServiceTime());
      StatementAttempt attempt = co_await this->Send(&job, Opening::kNone, demand->position, *state,
                                                     group, pool, &lease, patience);
      pool->Release(std::move(lease));
      tried = true;
      if (attempt.outcome != Outcome::kAnswered) {
        cause = attempt.cause;
        this->NoteAttempt(&job, *pool, BootNow() - demand->sent, cause);
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
      if (!ChangesNothing(*attempt.answer.error)) {
        co_return this->Fail(job, *attempt.answer.error, attempt.answer.error_text, last);
      }
      this->NoteRefusal(pool.get(), *attempt.answer.error);
      cause = kStatementErrorNames.NameOf(*attempt.answer.error);
      this->NoteAttempt(&job, *pool, BootNow() - demand->sent, cause);
    }
    if (!tried) {
      co_await Pause(kOverloadPause);
    }
  }
  // Without evidence, or when all replicas are behind, the primary serves the read.
  co_return co_await this->RunAtPrimary(std::move(job), state);
}

asio::awaitable<StatementAnswer> StatementRunner::RunAtPrimary(StatementJob job,
                                                               SessionState* state) {
  ServiceGroup* group = this->cluster->FindGroup(job.route->service);
  job.commits = job.writes;
  // A read at an endpoint that has lost the lead is refused only inside a transaction that may
  // write.
  const Opening opening = job.writes ? Opening::kNone : Opening::kWritable;
  std::string cause = "no primary is known";
  std::shared_ptr<EndpointPool> pool;
  for (;;) {
    const Duration left = job.deadline - BootNow();
    if (group == nullptr || left <= 1ms) {
      break;
    }
    pool = co_await group->AwaitPrimary(left);
    if (pool == nullptr) {
      cause = "no primary is expected in time; last: " + cause;
      break;
    }
    EndpointLease lease = co_await this->Acquire(&job, pool, false, *state);
    if (lease.connection == nullptr) {
      cause = kAcquireFailureNames.NameOf(lease.failure);
      this->NoteAttempt(&job, *pool, std::nullopt, cause);
      if (lease.failure == AcquireFailure::kOverloaded) {
        break;
      }
      co_await Pause(kOverloadPause);
      continue;
    }
    // A read at a server that has lost the lead is refused only inside a transaction that may
    // write.
    StatementAttempt attempt = co_await this->Send(&job, opening, LogPosition{}, *state, group,
                                                   pool, &lease, TimeLeft(job));
    if (attempt.outcome == Outcome::kAnswered && !job.writes) {
      this->CleanUp(pool, std::move(lease));
      attempt.answer.state = TransactionState::kNone;
    } else {
      pool->Release(std::move(lease));
    }
    if (attempt.outcome == Outcome::kLost && job.writes) {
      co_return this->Fail(job, StatementError::kInDoubt, attempt.cause, pool.get());
    }
    if (attempt.outcome == Outcome::kAnswered && !attempt.answer.error) {
      if (job.writes) {
        this->NoteCommit(state, attempt.answer);
      }
      this->NoteServed(job, *pool);
      co_return attempt.answer;
    }
    if (!attempt.answer.error) {
      cause = attempt.cause;
      this->NoteAttempt(&job, *pool, std::nullopt, cause);
      co_await Pause(kOverloadPause);
      continue;
    }
    const StatementError error = *attempt.answer.error;
    if (!ChangesNothing(error)) {
      co_return this->Fail(job, error, attempt.answer.error_text, pool.get());
    }
    cause = kStatementErrorNames.NameOf(error);
    this->NoteAttempt(&job, *pool, std::nullopt, cause);
    if (error == StatementError::kReadOnly) {
      group->LosePrimary(pool->record().id, "it refused a write");
    } else {
      this->NoteRefusal(pool.get(), error);
      co_await Pause(kOverloadPause);
    }
  }
  co_return this->Fail(job, StatementError::kOverloaded, cause, pool.get());
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
    EndpointLease lease = co_await pool->Acquire(0, false, kEvidenceLimit, none);
    if (lease.connection != nullptr) {
      const StatementAttempt attempt = co_await self->Send(
          &job, Opening::kWritable, LogPosition{}, none, group, pool, &lease, kEvidenceLimit);
      if (attempt.answer.error == StatementError::kReadOnly) {
        group->LosePrimary(pool->record().id, "it refused a transaction that may write");
      }
      self->CleanUp(pool, std::move(lease));
    }
    group->refreshing = false;
  };
  group->refreshing = true;
  asio::co_spawn(pool->io_executor(), work(this, group, pool), asio::detached);
}

// -----------------------------------------------------------------------------
// Transactions

asio::awaitable<StatementAnswer> StatementRunner::RunInTransaction(
    StatementJob job,
    SessionState* state,
    SessionTransaction* transaction) {
  if (transaction->lease.connection == nullptr) {
    const bool at_replica =
        transaction->read_only && job.route->consistency != Consistency::kPrimary;
    if (at_replica) {
      co_return co_await this->BeginAtReplica(std::move(job), state, transaction);
    }
    co_return co_await this->BeginAtPrimary(std::move(job), state, transaction);
  }
  ServiceGroup* group = this->cluster->FindGroup(job.route->service);
  const auto pool = transaction->pool;
  for (;;) {
    const Duration left = TimeLeft(job);
    StatementAttempt attempt = co_await this->Send(&job, Opening::kNone, LogPosition{}, *state,
                                                   group, pool, &transaction->lease, left);
    if (attempt.outcome != Outcome::kAnswered) {
      this->Discard(transaction);
      co_return this->Fail(job, StatementError::kAborted, attempt.cause, pool.get());
    }
    StatementAnswer& answer = attempt.answer;
    if (!answer.error) {
      transaction->wrote = transaction->wrote || job.writes;
      this->NoteServed(job, *pool);
      co_return answer;
    }
    const bool retriable = *answer.error == StatementError::kOverloaded &&
                           answer.state == TransactionState::kOpen && left > 2 * kOverloadPause;
    if (retriable) {
      co_await Pause(kOverloadPause);
      continue;
    }
    if (*answer.error == StatementError::kReadOnly && !transaction->read_only) {
      group->LosePrimary(pool->record().id, "it refused a transaction's statement");
    }
    // The connection is rolled back, so that the promise of any of these errors holds.
    this->Discard(transaction);
    co_return this->Fail(job,
                         ChangesNothing(*answer.error) ? StatementError::kAborted : *answer.error,
                         answer.error_text, pool.get());
  }
}

asio::awaitable<StatementAnswer> StatementRunner::BeginAtPrimary(StatementJob job,
                                                                 SessionState* state,
                                                                 SessionTransaction* transaction) {
  ServiceGroup* group = this->cluster->FindGroup(job.route->service);
  std::string cause = "no primary is known";
  std::shared_ptr<EndpointPool> pool;
  for (;;) {
    const Duration left = job.deadline - BootNow();
    if (group == nullptr || left <= 1ms) {
      break;
    }
    pool = co_await group->AwaitPrimary(left);
    if (pool == nullptr) {
      cause = "no primary is expected in time; last: " + cause;
      break;
    }
    EndpointLease lease = co_await this->Acquire(&job, pool, true, *state);
    if (lease.connection == nullptr) {
      cause = kAcquireFailureNames.NameOf(lease.failure);
      this->NoteAttempt(&job, *pool, std::nullopt, cause);
      if (lease.failure == AcquireFailure::kOverloaded) {
        break;
      }
      co_await Pause(kOverloadPause);
      continue;
    }
    StatementAttempt attempt = co_await this->Send(&job, Opening::kWritable, LogPosition{}, *state,
                                                   group, pool, &lease, TimeLeft(job));
    if (attempt.outcome == Outcome::kAnswered && !attempt.answer.error) {
      transaction->wrote = job.writes;
      transaction->pool = pool;
      transaction->lease = std::move(lease);
      this->NoteServed(job, *pool);
      co_return attempt.answer;
    }
    this->CleanUp(pool, std::move(lease));
    const auto error = attempt.answer.error;
    cause = error ? std::string(kStatementErrorNames.NameOf(*error)) : attempt.cause;
    this->NoteAttempt(&job, *pool, std::nullopt, cause);
    if (error && !ChangesNothing(*error)) {
      transaction->finished = true;
      co_return this->Fail(job, *error, attempt.answer.error_text, pool.get());
    }
    if (error == StatementError::kReadOnly) {
      group->LosePrimary(pool->record().id, "it refused a transaction that may write");
    } else {
      if (error) {
        this->NoteRefusal(pool.get(), *error);
      }
      co_await Pause(kOverloadPause);
    }
  }
  transaction->finished = true;
  co_return this->Fail(job, StatementError::kOverloaded, cause, pool.get());
}

asio::awaitable<StatementAnswer> StatementRunner::BeginAtReplica(StatementJob job,
                                                                 SessionState* state,
                                                                 SessionTransaction* transaction) {
  ServiceGroup* group = this->cluster->FindGroup(job.route->service);
  const auto demand = group == nullptr ? std::nullopt : this->DemandFor(job, *state, group);
  if (demand) {
    for (const auto& pool :
         group->ReadOrder(this->cluster->failure_domain(), BootNow() - demand->sent)) {
      const Duration left = job.deadline - BootNow();
      if (left <= 1ms) {
        break;
      }
      EndpointLease lease = co_await this->Acquire(&job, pool, true, *state);
      if (lease.connection == nullptr) {
        continue;
      }
      const Duration patience = std::min<Duration>(
          TimeLeft(job), kMinReadPatience + kReadPatienceFactor * pool->queue().ServiceTime());
      StatementAttempt attempt = co_await this->Send(&job, Opening::kReadOnly, demand->position,
                                                     *state, group, pool, &lease, patience);
      if (attempt.outcome == Outcome::kAnswered && !attempt.answer.error) {
        transaction->pool = pool;
        transaction->lease = std::move(lease);
        pool->NoteCaughtUp(BootNow() - demand->sent);
        this->NoteServed(job, *pool);
        co_return attempt.answer;
      }
      this->CleanUp(pool, std::move(lease));
      if (attempt.answer.error == StatementError::kBehind) {
        pool->NoteBehind(BootNow() - demand->sent);
      }
      if (attempt.answer.error) {
        this->NoteRefusal(pool.get(), *attempt.answer.error);
      }
    }
  }
  co_return co_await this->BeginAtPrimary(std::move(job), state, transaction);
}

asio::awaitable<StatementAnswer> StatementRunner::Commit(StatementJob job,
                                                         SessionState* state,
                                                         SessionTransaction* transaction) {
  if (transaction->lease.connection == nullptr) {
    // The commit of an empty transaction also needs an endpoint's signature.
    StatementAnswer answer = co_await this->RunInTransaction(std::move(job), state, transaction);
    if (!answer.error) {
      transaction->pool->Release(std::move(transaction->lease));
      *transaction = {};
    }
    answer.state = TransactionState::kNone;
    co_return answer;
  }
  ServiceGroup* group = this->cluster->FindGroup(job.route->service);
  const auto pool = transaction->pool;
  const bool wrote = transaction->wrote;
  job.commits = wrote;
  StatementAttempt attempt = co_await this->Send(&job, Opening::kNone, LogPosition{}, *state, group,
                                                 pool, &transaction->lease, TimeLeft(job));
  StatementAnswer answer = std::move(attempt.answer);
  if (attempt.outcome == Outcome::kLost) {
    answer = this->Fail(job, wrote ? StatementError::kInDoubt : StatementError::kAborted,
                        attempt.cause, pool.get());
  } else if (attempt.outcome == Outcome::kNotSent) {
    answer = this->Fail(job, StatementError::kAborted, attempt.cause, pool.get());
  } else if (answer.error) {
    const bool promise = ChangesNothing(*answer.error);
    answer = this->Fail(job, promise ? StatementError::kAborted : *answer.error, answer.error_text,
                        pool.get());
  } else {
    if (wrote) {
      this->NoteCommit(state, answer);
    }
    this->NoteServed(job, *pool);
  }
  if (answer.error) {
    this->Discard(transaction);
  } else {
    pool->Release(std::move(transaction->lease));
  }
  *transaction = {};
  answer.state = TransactionState::kNone;
  co_return answer;
}

void StatementRunner::Discard(SessionTransaction* transaction) {
  if (transaction->lease.connection != nullptr) {
    this->CleanUp(transaction->pool, std::move(transaction->lease));
  }
  transaction->lease = {};
  transaction->pool = nullptr;
  transaction->finished = true;
}

}  // namespace poplarmoor
