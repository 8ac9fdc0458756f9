#include "session/statement_runner.h"

#include "session/boot_clock.h"
#include "session/cluster.h"

namespace poplarmoor {

namespace asio = boost::asio;

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
    const Duration left = job.TimeLeft();
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
                           answer.state == TransactionState::kOpen && left > 2 * kMinOverloadPause;
    if (retriable) {
      co_await Pause(kMinOverloadPause);
      continue;
    }
    if (*answer.error == StatementError::kReadOnly && !transaction->read_only) {
      group->ClearPrimary(pool->record().id, "it refused a statement of a writable transaction");
    }
    // The whole transaction is rolled back. If the error says only that this statement has not run,
    // the caller gets kAborted instead, which says that nothing of the transaction is kept.
    this->Discard(transaction);
    co_return this->Fail(job, HasNotRun(*answer.error) ? StatementError::kAborted : *answer.error,
                         answer.error_text, pool.get());
  }
}

asio::awaitable<StatementAnswer> StatementRunner::BeginAtPrimary(StatementJob job,
                                                                 SessionState* state,
                                                                 SessionTransaction* transaction) {
  ServiceGroup* group = this->cluster->FindGroup(job.route->service);
  std::string cause = "no primary is known";
  for (;;) {
    PrimaryLease primary = co_await this->LeasePrimary(&job, group, true, *state, cause);
    const auto pool = primary.pool;
    if (primary.lease.connection == nullptr) {
      transaction->finished = true;
      co_return this->Fail(job, StatementError::kOverloaded, primary.cause, pool.get());
    }
    StatementAttempt attempt = co_await this->Send(&job, Opening::kWritable, LogPosition{}, *state,
                                                   group, pool, &primary.lease, job.TimeLeft());
    const auto error = attempt.answer.error;
    if (attempt.outcome == Outcome::kAnswered && !error) {
      transaction->wrote = job.writes;
      transaction->pool = pool;
      transaction->lease = std::move(primary.lease);
      this->NoteServed(job, *pool);
      co_return attempt.answer;
    }
    this->RollBackAndRelease(pool, std::move(primary.lease));
    if (error && !HasNotRun(*error)) {
      transaction->finished = true;
      co_return this->Fail(job, *error, attempt.answer.error_text, pool.get());
    }
    cause = error ? std::string(kStatementErrorNames.NameOf(*error)) : attempt.cause;
    if (WasShed(attempt)) {
      transaction->finished = true;
      co_return this->Fail(job, StatementError::kOverloaded, cause, pool.get());
    }
    co_await this->HandlePrimaryFailure(&job, group, pool, error, cause);
  }
}

asio::awaitable<StatementAnswer> StatementRunner::BeginAtReplica(StatementJob job,
                                                                 SessionState* state,
                                                                 SessionTransaction* transaction) {
  ServiceGroup* group = this->cluster->FindGroup(job.route->service);
  const auto demand = group == nullptr ? std::nullopt : this->EvidenceToDemand(job, *state, group);
  if (demand) {
    for (const auto& pool : group->EndpointsForRead(
             this->cluster->failure_domain(), BootNow() - demand->sent, state->organisation)) {
      const Duration left = job.deadline - BootNow();
      if (left <= 1ms) {
        break;
      }
      if (job.refusal) {
        break;
      }
      EndpointLease lease = co_await this->Acquire(&job, pool, true, *state);
      if (lease.connection == nullptr) {
        this->NoteAttempt(&job, *pool, BootNow() - demand->sent,
                          kAcquireFailureNames.NameOf(lease.failure));
        continue;
      }
      const Duration read_timeout = ReadTimeout(job, *pool);
      StatementAttempt attempt = co_await this->Send(&job, Opening::kReadOnly, demand->position,
                                                     *state, group, pool, &lease, read_timeout);
      if (attempt.outcome == Outcome::kAnswered && !attempt.answer.error) {
        transaction->pool = pool;
        transaction->lease = std::move(lease);
        pool->NoteCaughtUp(BootNow() - demand->sent);
        this->NoteServed(job, *pool);
        co_return attempt.answer;
      }
      this->RollBackAndRelease(pool, std::move(lease));
      if (attempt.answer.error == StatementError::kBehind) {
        pool->NoteBehind(BootNow() - demand->sent);
      }
      if (attempt.answer.error) {
        this->NoteRefusal(pool.get(), *attempt.answer.error);
        attempt.cause = kStatementErrorNames.NameOf(*attempt.answer.error);
      }
      this->NoteAttempt(&job, *pool, BootNow() - demand->sent, attempt.cause);
    }
  }
  co_return co_await this->BeginAtPrimary(std::move(job), state, transaction);
}

asio::awaitable<StatementAnswer> StatementRunner::Commit(StatementJob job,
                                                         SessionState* state,
                                                         SessionTransaction* transaction) {
  if (transaction->lease.connection == nullptr) {
    // The commit of an empty transaction is also run at an endpoint, because its answer needs an
    // endpoint's signature.
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
  if (wrote) {
    const bool may_commit = co_await this->MayCommit(job, group);
    if (!may_commit) {
      StatementAnswer refused = this->Fail(job, StatementError::kAborted, kNoCommits, pool.get());
      this->Discard(transaction);
      *transaction = {};
      refused.state = TransactionState::kNone;
      co_return refused;
    }
  }
  StatementAttempt attempt = co_await this->Send(&job, Opening::kNone, LogPosition{}, *state, group,
                                                 pool, &transaction->lease, job.TimeLeft());
  StatementAnswer answer = std::move(attempt.answer);
  if (attempt.outcome == Outcome::kLost) {
    answer = this->Fail(job, wrote ? StatementError::kInDoubt : StatementError::kAborted,
                        attempt.cause, pool.get());
  } else if (attempt.outcome == Outcome::kNotSent) {
    answer = this->Fail(job, StatementError::kAborted, attempt.cause, pool.get());
  } else if (answer.error) {
    const bool not_run = HasNotRun(*answer.error);
    answer = this->Fail(job, not_run ? StatementError::kAborted : *answer.error, answer.error_text,
                        pool.get());
  } else {
    pool->Release(std::move(transaction->lease));
    bool safe = true;
    if (wrote) {
      safe = co_await this->IsSafe(job, group, pool, answer);
    }
    if (!safe) {
      answer = this->Fail(job, StatementError::kInDoubt, kUnconfirmedCommit, pool.get());
    } else {
      if (wrote) {
        this->NoteCommit(state, answer);
      }
      this->NoteServed(job, *pool);
    }
  }
  if (answer.error) {
    this->Discard(transaction);
  }
  *transaction = {};
  answer.state = TransactionState::kNone;
  co_return answer;
}

void StatementRunner::Discard(SessionTransaction* transaction) {
  if (transaction->lease.connection != nullptr) {
    this->RollBackAndRelease(transaction->pool, std::move(transaction->lease));
  }
  transaction->lease = {};
  transaction->pool = nullptr;
  transaction->finished = true;
}

}  // namespace poplarmoor
