#include <algorithm>
#include <boost/asio.hpp>

#include "daemon/endpoint_owner.h"
#include "daemon/refusal.h"
#include "net/endpoint_connection.h"
#include "net/endpoint_driver.h"
#include "net/now.h"
#include "net/random_bits.h"
#include "net/strand.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {
constexpr Duration kOpenTimeout = 1000ms;  // Least time allowed for opening a connection.
}

// --- Decisions ----------------------------------------------------------------------------------

void EndpointOwner::Pump(TimePoint now, Work* work) {
  while (const std::optional<AdmissionItem> item = this->queue->Next(now)) {
    const auto found = this->waiters.find(item->id);
    if (found == this->waiters.end()) {
      this->queue->Abandoned(item->rank);
    } else if (found->second.needs_connection) {
      this->ready.push_back(item->id);
    } else {
      work->grants.emplace_back(std::move(found->second), Grant());
      this->waiters.erase(found);
    }
  }
  for (auto each = this->ready.begin(); each != this->ready.end();) {
    const auto found = this->waiters.find(*each);
    const auto id = this->pool.Acquire(found->second.is_begin, now);
    if (!id) {
      ++each;
      continue;
    }
    Grant grant;
    grant.id = *id;
    grant.connection = this->connections.at(*id);
    work->grants.emplace_back(std::move(found->second), std::move(grant));
    this->waiters.erase(found);
    each = this->ready.erase(each);
  }
  if (this->stopped) {
    return;
  }
  const ConnectionPool::Plan plan = this->pool.Tick(this->waiters.size(), now);
  work->open.insert(work->open.end(), plan.open.begin(), plan.open.end());
  for (const ConnectionId id : plan.close) {
    this->CloseConnection(id, work);
  }
}

void EndpointOwner::RecordSlot(Rank rank,
                               const EndpointReply& reply,
                               Duration latency,
                               TimePoint now) {
  const int running = this->queue->Running();
  if (reply.result.verdict == Verdict::kRan) {
    this->queue->Finished(rank, latency);
    this->limit.OnFinished(latency, running, now);
  } else {
    this->queue->Abandoned(rank);
    if (reply.result.reason == Reason::kNoSlot) {
      this->limit.OnNoSlot(now);
    }
  }
  this->queue->SetSlots(this->limit.Limit());
}

void EndpointOwner::ReleaseConnection(ConnectionId id,
                                      const EndpointReply& reply,
                                      Duration waited,
                                      TimePoint now,
                                      Work* work) {
  if (reply.timed_out) {
    for (const ConnectionId each : this->pool.OnTimeout(id, waited, now)) {
      this->CloseConnection(each, work);
    }
    this->CloseConnection(id, work);
  } else if (this->pool.Release(id, reply.usable, now)) {
    this->CloseConnection(id, work);
  }
}

void EndpointOwner::CloseConnection(ConnectionId id, Work* work) {
  const auto found = this->connections.find(id);
  if (found != this->connections.end()) {
    work->close.push_back(std::move(found->second));
    this->connections.erase(found);
  }
}

void EndpointOwner::RefuseWaiting(const StatementResult& reason, Work* work) {
  for (auto each = this->waiters.begin(); each != this->waiters.end();) {
    if (!each->second.needs_connection) {
      ++each;
      continue;
    }
    const auto holds_slot = std::find(this->ready.begin(), this->ready.end(), each->first);
    if (holds_slot != this->ready.end()) {
      this->ready.erase(holds_slot);
      this->queue->Abandoned(each->second.rank);
    } else {
      this->queue->Cancel(each->first);
    }
    work->grants.emplace_back(std::move(each->second),
                              MakeGrantRefusal(reason.reason, reason.message));
    each = this->waiters.erase(each);
  }
}

void EndpointOwner::Perform(Work work) {
  for (const Connection& connection : work.close) {
    connection->Close();
  }
  for (const ConnectionId id : work.open) {
    asio::co_spawn(
        MakeStrand(this->executor),
        [self = this->shared_from_this(), id] { return self->OpenConnection(id); }, asio::detached);
  }
  for (auto& [waiter, grant] : work.grants) {
    const ConnectionId id = grant.id;
    const bool holds_slot = grant.reason == Reason::kNone;
    if (waiter.slot->Set(std::move(grant)) || !holds_slot) {
      continue;
    }
    // The request's deadline passed in the meantime.
    Work more;
    {
      std::lock_guard lock(this->mutex);
      this->queue->Abandoned(waiter.rank);
      if (id != 0 && this->pool.Release(id, true, Now())) {
        this->CloseConnection(id, &more);
      }
      this->Pump(Now(), &more);
    }
    this->Perform(std::move(more));
  }
}

// --- Connections --------------------------------------------------------------------------------

asio::awaitable<void> EndpointOwner::OpenConnection(ConnectionId id) {
  const auto self = this->shared_from_this();
  const Connection connection = this->driver->MakeConnection(this->executor, this->info.address);
  Duration timeout = kOpenTimeout;
  {
    std::lock_guard lock(this->mutex);
    timeout = std::max<Duration>(timeout, 10 * this->settings.connect_time);
  }
  const StatementResult opened = co_await connection->Open(timeout);
  Work work;
  bool unreachable = false;
  {
    std::lock_guard lock(this->mutex);
    const TimePoint now = Now();
    if (opened.verdict == Verdict::kRan && !this->stopped) {
      this->pool.OnOpened(id, now);
      this->connections.emplace(id, connection);
      this->open_failure = StatementResult();
    } else {
      this->pool.OnOpenFailed(id, now, RandomBits());
      this->open_failure = opened;
      work.close.push_back(connection);
      unreachable = opened.reason == Reason::kConnectFailed;
      if (this->connections.empty()) {
        this->RefuseWaiting(opened, &work);
      }
    }
    this->Pump(now, &work);
  }
  this->Perform(std::move(work));
  if (unreachable) {
    this->report_failure();
  }
}

void EndpointOwner::Maintain() {
  Work work;
  {
    std::lock_guard lock(this->mutex);
    const TimePoint now = Now();
    // The waiting coroutines notice their deadline themselves.
    this->queue->TakeExpired(now);
    for (const auto& transaction : this->transactions.Expire(now)) {
      this->pool.Release(transaction.connection, false, now);
      this->CloseConnection(transaction.connection, &work);
    }
    this->Pump(now, &work);
  }
  this->Perform(std::move(work));
}

void EndpointOwner::Stop() {
  Work work;
  {
    std::lock_guard lock(this->mutex);
    this->stopped = true;
    this->RefuseWaiting(MakeRefusal(Reason::kStopping, "the daemon is stopping"), &work);
    while (!this->connections.empty()) {
      this->CloseConnection(this->connections.begin()->first, &work);
    }
  }
  this->Perform(std::move(work));
}

}  // namespace poplarmoor
