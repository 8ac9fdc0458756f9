// Leases of EndpointPool: admission, choice of an idle connection and opening of a new one.
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "session/boot_clock.h"
#include "session/direct_channel.h"
#include "session/endpoint_pool.h"
#include "session/relay_router.h"
#include "session/statement_answer.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Work of the daemon itself, such as a read of the log position, runs for no organisation's caller.
bool IsOwnWork(const SessionState& session) {
  return session.session == 0 && session.organisation.empty();
}

}  // namespace

struct EndpointPool::Waiter {
  explicit Waiter(asio::any_io_executor executor) : timer(std::move(executor)) {}

  asio::steady_timer timer;
  bool granted = false;
};

asio::awaitable<EndpointLease> EndpointPool::Acquire(int rank,
                                                     bool transaction,
                                                     Duration max_wait,
                                                     const SessionState& session) {
  const bool prefers_other = this->by_organisation && !this->relayed && !IsOwnWork(session) &&
                             this->relays->PrefersOther(this->current, session.organisation);
  if (!this->UsesRelay() && !prefers_other) {
    co_return co_await this->AcquireDirect(rank, transaction, max_wait, session);
  }
  // Relayed statements are queued or refused by the gateways; this daemon only counts those that
  // are in progress.
  EndpointLease lease;
  lease.transaction = transaction;
  lease.relayed = true;
  lease.since = BootNow();
  ++this->relayed_in_use;
  lease.connection =
      this->relays->OpenChannel(this->current, rank, transaction, !this->UsesRelay());
  co_return lease;
}

asio::awaitable<EndpointLease> EndpointPool::AcquireDirect(int rank,
                                                           bool transaction,
                                                           Duration max_wait,
                                                           const SessionState& session) {
  const auto self = this->shared_from_this();
  const TimePoint entered = BootNow();
  if (!this->shedder.Admits(rank, entered, &this->random)) {
    EndpointLease refused;
    refused.failure = AcquireFailure::kOverloaded;
    co_return refused;
  }
  const StatementQueue::Ticket ticket = this->next_ticket++;
  const auto decision =
      this->admission.Enter(ticket, rank, transaction, max_wait, session.organisation);
  EndpointLease lease;
  lease.transaction = transaction;
  lease.organisation = session.organisation;
  if (decision == StatementQueue::Decision::kRefuse) {
    lease.failure = AcquireFailure::kOverloaded;
    co_return lease;
  }
  if (decision == StatementQueue::Decision::kWait) {
    const bool granted = co_await this->AwaitGrant(&this->waiters, ticket, max_wait);
    if (!granted) {
      this->admission.Withdraw(ticket);
      if (this->by_organisation) {
        this->WakeGranted();
      }
      lease.failure = AcquireFailure::kOverloaded;
      co_return lease;
    }
  }
  lease.since = BootNow();
  lease.connection = this->TakeIdle(session);
  if (lease.connection != nullptr) {
    co_return lease;
  }
  const bool opens_in_turn = this->by_organisation;
  if (opens_in_turn) {
    const bool may_open = co_await this->AwaitOpening(&lease, ticket, session, entered + max_wait);
    if (!may_open) {
      if (lease.connection == nullptr) {
        lease.failure = AcquireFailure::kOverloaded;
        this->Leave(lease);
      }
      co_return lease;
    }
    this->CloseExcess();
  }
  const TimePoint now = BootNow();
  if (now < this->next_open) {
    lease.failure = AcquireFailure::kTooMany;
    this->Leave(lease);
  } else {
    const Duration left = std::clamp(max_wait - (now - entered), Duration(1ms), kOpenLimit);
    lease = co_await this->OpenConnection(std::move(lease), left);
  }
  if (opens_in_turn) {
    this->FinishOpening();
  }
  co_return lease;
}

asio::awaitable<bool> EndpointPool::AwaitGrant(WaiterMap* map,
                                               StatementQueue::Ticket ticket,
                                               Duration max_wait) {
  Waiter waiter(this->executor);
  waiter.timer.expires_after(max_wait);
  (*map)[ticket] = &waiter;
  boost::system::error_code error;
  co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  map->erase(ticket);
  co_return waiter.granted;
}

asio::awaitable<bool> EndpointPool::AwaitOpening(EndpointLease* lease,
                                                 StatementQueue::Ticket ticket,
                                                 const SessionState& session,
                                                 TimePoint deadline) {
  while (!this->openings.Enter(ticket, session.organisation)) {
    const Duration left = deadline - BootNow();
    const bool granted = co_await this->AwaitGrant(&this->opening_waiters, ticket, left);
    if (granted) {
      co_return true;
    }
    this->openings.Withdraw(ticket);
    lease->connection = this->TakeIdle(session);
    if (lease->connection != nullptr || BootNow() >= deadline) {
      co_return false;
    }
  }
  co_return true;
}

void EndpointPool::FinishOpening() {
  if (const auto ticket = this->openings.Finish()) {
    Waiter* waiter = this->opening_waiters.at(*ticket);
    waiter->granted = true;
    waiter->timer.cancel();
  }
}

asio::awaitable<EndpointLease> EndpointPool::OpenConnection(EndpointLease lease, Duration limit) {
  auto connection =
      std::make_unique<EndpointSession>(this->executor, this->codec, this->current.address);
  try {
    const StatementAnswer answer = co_await connection->Open(
        this->current.service, lease.organisation, this->current.id, limit);
    if (!answer.error) {
      this->open_pause = {};
      this->down = false;
      this->last_answer = BootNow();
      ++this->opened;
      lease.connection = std::make_unique<DirectChannel>(std::move(connection), this->codec);
      lease.connection->organisation = lease.organisation;
      co_return lease;
    }
    if (*answer.error == StatementError::kTooManyConnections) {
      lease.failure = AcquireFailure::kTooMany;
      this->NoteLimitReached();
    } else if (*answer.error == StatementError::kWrongEndpoint) {
      lease.failure = AcquireFailure::kWrongEndpoint;
    } else {
      lease.failure = AcquireFailure::kOverloaded;
    }
  } catch (const EndpointSessionError& error) {
    // The failure is not logged here: the calling function logs it with the statement's id. An
    // endpoint may close a connection above its connection limit without an answer, so a closed
    // connection counts as a refusal at that limit.
    if (error.kind == EndpointSessionError::Kind::kClosed) {
      lease.failure = AcquireFailure::kTooMany;
      this->NoteLimitReached();
    } else {
      lease.failure = AcquireFailure::kUnreachable;
    }
    this->suspected = true;
  }
  this->Leave(lease);
  co_return lease;
}

void EndpointPool::Release(EndpointLease lease) {
  if (lease.relayed) {
    --this->relayed_in_use;
    return;
  }
  if (lease.connection != nullptr && lease.connection->is_open() && !this->relayed) {
    this->PutIdle(std::move(lease.connection));
  }
  this->Leave(lease);
}

void EndpointPool::Leave(const EndpointLease& lease) {
  const TimePoint now = BootNow();
  this->admission.Leave(lease.transaction, now - lease.since, lease.organisation);
  if (!lease.transaction) {
    this->shedder.RecordStatementTime(this->admission.SmoothedStatementTime(), now);
  }
  this->WakeGranted();
}

void EndpointPool::WakeGranted() {
  while (const auto ticket = this->admission.Next()) {
    Waiter* waiter = this->waiters.at(*ticket);
    waiter->granted = true;
    waiter->timer.cancel();
  }
}

std::unique_ptr<EndpointChannel> EndpointPool::TakeIdle(const SessionState& session) {
  const std::string* organisation = IsOwnWork(session) ? nullptr : &session.organisation;
  while (auto connection = this->idle.Take(organisation, session.session)) {
    if ((*connection)->IsReusable()) {
      return std::move(*connection);
    }
  }
  return nullptr;
}

std::unique_ptr<EndpointChannel> EndpointPool::TakeFirstOpened() {
  const auto opened_before = [](const auto& left, const auto& right) {
    return left->opened_at < right->opened_at;
  };
  while (auto connection = this->idle.TakeFirst(opened_before)) {
    if ((*connection)->IsReusable()) {
      return std::move(*connection);
    }
  }
  return nullptr;
}

void EndpointPool::PutIdle(std::unique_ptr<EndpointChannel> connection) {
  const std::string organisation = connection->organisation;
  const uint64_t session = connection->used_by;
  this->idle.Put(std::move(connection), organisation, session, BootNow());
  if (const auto ticket = this->openings.TakeWaiting(organisation)) {
    this->opening_waiters.at(*ticket)->timer.cancel();
  }
}

void EndpointPool::CloseExcess() {
  // Leases that wait until they may open a connection have none yet.
  const size_t in_use = this->admission.InUse() - this->openings.Waiting();
  const auto excess = this->idle.TakeExcess(in_use, this->admission.TotalLimit());
  this->evicted += excess.size();
}

std::map<std::string, size_t> EndpointPool::ConnectionsByOrganisation() const {
  std::map<std::string, size_t> counts;
  for (const auto& [organisation, count] : this->admission.HeldByOrganisation()) {
    counts[organisation] += count;
  }
  this->idle.VisitOrganisations(
      [&counts](const std::string& organisation) { ++counts[organisation]; });
  return counts;
}

}  // namespace poplarmoor
