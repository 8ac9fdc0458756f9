#include <functional>

#include "session/cluster.h"
#include "session/statement_runner.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Part of the session's state that a wait for a connection uses. The wait may outlast the session.
SessionState WaitState(const SessionState& state) {
  SessionState copy;
  copy.session = state.session;
  copy.organisation = state.organisation;
  copy.key = state.key;
  return copy;
}

}  // namespace

bool StatementRunner::MayRun(StatementJob* job, const SessionState& state) {
  if (!job->refusal) {
    job->refusal = this->cluster->access().Check(state);
    if (job->refusal) {
      this->cluster->access().NoteRefusal("statement", state.organisation, job->id, *job->refusal);
    }
  }
  return !job->refusal;
}

bool StatementRunner::DependsOnKey(const SessionState& state) const {
  return state.key != 0 && this->cluster->routes().organisations.has_value();
}

asio::awaitable<EndpointLease> StatementRunner::AwaitLease(std::shared_ptr<EndpointPool> pool,
                                                           const StatementJob& job,
                                                           bool transaction,
                                                           const SessionState& state) {
  if (!this->DependsOnKey(state) || pool->UsesRelay()) {
    co_return co_await pool->Acquire(job.route->rank, transaction, job.TimeLeft(), state);
  }
  const auto work = [](std::shared_ptr<EndpointPool> pool, int rank, bool transaction,
                       Duration limit, SessionState state) -> asio::awaitable<EndpointLease> {
    co_return co_await pool->Acquire(rank, transaction, limit, state);
  };
  AccessControl& access = this->cluster->access();
  SessionState copy = WaitState(state);
  std::function<bool()> allowed = [&access, copy] { return !access.IsWithdrawn(copy); };
  std::function<void(EndpointLease)> discard = [pool](EndpointLease lease) {
    if (lease.connection != nullptr) {
      pool->Release(std::move(lease));
    }
  };
  auto acquired = work(pool, job.route->rank, transaction, job.TimeLeft(), std::move(copy));
  auto lease = co_await access.AwaitWhile<EndpointLease>(std::move(allowed), std::move(acquired),
                                                         std::move(discard));
  if (lease) {
    co_return std::move(*lease);
  }
  EndpointLease refused;
  refused.failure = AcquireFailure::kOverloaded;
  co_return refused;
}

asio::awaitable<std::shared_ptr<EndpointPool>>
StatementRunner::AwaitPrimary(ServiceGroup* group, Duration limit, const SessionState& state) {
  std::shared_ptr<EndpointPool> primary = group->Primary();
  if (primary != nullptr || !this->DependsOnKey(state)) {
    co_return co_await group->AwaitPrimary(limit);
  }
  using Pool = std::shared_ptr<EndpointPool>;
  AccessControl& access = this->cluster->access();
  SessionState copy = WaitState(state);
  std::function<bool()> allowed = [&access, copy] { return !access.IsWithdrawn(copy); };
  std::function<void(Pool)> discard = [](Pool) {};
  auto work = group->AwaitPrimary(limit);
  auto found =
      co_await access.AwaitWhile<Pool>(std::move(allowed), std::move(work), std::move(discard));
  Pool result;
  if (found) {
    result = std::move(*found);
  }
  co_return result;
}

}  // namespace poplarmoor
