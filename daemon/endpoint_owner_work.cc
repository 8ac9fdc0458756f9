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
constexpr Duration kMinOpenTimeout = 1000ms;  // Shortest timeout of opening a connection.
}

// --- Decisions ----------------------------------------------------------------------------------

void EndpointOwner::ProcessQueue(TimePoint now, PendingIo* pending_io) {
  while (const std::optional<AdmissionItem> item = this->queue->Next(now)) {
    const auto found = this->waiters.find(item->id);
    if (found == this->waiters.end()) {
      this->queue->Abandoned(item->rank);
    } else if (found->second.needs_connection) {
      this->waiting_for_connection.push_back(item->id);
    } else {
      pending_io->admission_results.emplace_back(std::move(found->second), AdmissionResult());
      this->waiters.erase(found);
    }
  }
  for (auto each = this->waiting_for_connection.begin();
       each != this->waiting_for_connection.end();) {
    const auto found = this->waiters.find(*each);
    const auto id = this->pool.Acquire(found->second.is_begin, now);
    if (!id) {
      ++each;
      continue;
    }
    AdmissionResult admission_result;
    admission_result.id = *id;
    admission_result.connection = this->connections.at(*id);
    pending_io->admission_results.emplace_back(std::move(found->second),
                                               std::move(admission_result));
    this->waiters.erase(found);
    each = this->waiting_for_connection.erase(each);
  }
  if (this->stopped) {
    return;
  }
  const ConnectionPool::Plan plan = this->pool.Tick(this->waiters.size(), now);
  pending_io->open.insert(pending_io->open.end(), plan.open.begin(), plan.open.end());
  for (const ConnectionId id : plan.close) {
    this->CloseConnection(id, pending_io);
  }
}

void EndpointOwner::ReturnSlot(Rank rank,
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
                                      PendingIo* pending_io) {
  if (reply.timed_out) {
    for (const ConnectionId each : this->pool.OnTimeout(id, waited, now)) {
      this->CloseConnection(each, pending_io);
    }
    this->CloseConnection(id, pending_io);
  } else if (this->pool.Release(id, reply.usable, now)) {
    this->CloseConnection(id, pending_io);
  }
}

void EndpointOwner::CloseConnection(ConnectionId id, PendingIo* pending_io) {
  const auto found = this->connections.find(id);
  if (found != this->connections.end()) {
    pending_io->close.push_back(std::move(found->second));
    this->connections.erase(found);
  }
}

void EndpointOwner::RefuseWaiting(const StatementResult& refusal, PendingIo* pending_io) {
  for (auto each = this->waiters.begin(); each != this->waiters.end();) {
    if (!each->second.needs_connection) {
      ++each;
      continue;
    }
    const auto holds_slot = std::find(this->waiting_for_connection.begin(),
                                      this->waiting_for_connection.end(), each->first);
    if (holds_slot != this->waiting_for_connection.end()) {
      this->waiting_for_connection.erase(holds_slot);
      this->queue->Abandoned(each->second.rank);
    } else {
      this->queue->Cancel(each->first);
    }
    pending_io->admission_results.emplace_back(
        std::move(each->second), MakeAdmissionRefusal(refusal.reason, refusal.message));
    each = this->waiters.erase(each);
  }
}

void EndpointOwner::Perform(PendingIo pending_io) {
  for (const Connection& connection : pending_io.close) {
    connection->Close();
  }
  for (const ConnectionId id : pending_io.open) {
    asio::co_spawn(
        MakeStrand(this->executor),
        [self = this->shared_from_this(), id] { return self->OpenConnection(id); }, asio::detached);
  }
  for (auto& [waiter, admission_result] : pending_io.admission_results) {
    const ConnectionId id = admission_result.id;
    const bool holds_slot = admission_result.reason == Reason::kNone;
    if (waiter.pending_result->Set(std::move(admission_result)) || !holds_slot) {
      continue;
    }
    // The request's wait ended before the slot was granted: return the slot and the connection.
    PendingIo follow_up_io;
    {
      std::lock_guard lock(this->mutex);
      this->queue->Abandoned(waiter.rank);
      if (id != 0 && this->pool.Release(id, true, Now())) {
        this->CloseConnection(id, &follow_up_io);
      }
      this->ProcessQueue(Now(), &follow_up_io);
    }
    this->Perform(std::move(follow_up_io));
  }
}

// --- Connections --------------------------------------------------------------------------------

asio::awaitable<void> EndpointOwner::OpenConnection(ConnectionId id) {
  const auto self = this->shared_from_this();
  const Connection connection = this->driver->MakeConnection(this->executor, this->info.address);
  Duration timeout = kMinOpenTimeout;
  {
    std::lock_guard lock(this->mutex);
    timeout = std::max<Duration>(timeout, 10 * this->settings.connect_time);
  }
  const StatementResult opened = co_await connection->Open(timeout);
  PendingIo pending_io;
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
      pending_io.close.push_back(connection);
      unreachable = opened.reason == Reason::kConnectFailed;
      if (this->connections.empty()) {
        this->RefuseWaiting(opened, &pending_io);
      }
    }
    this->ProcessQueue(now, &pending_io);
  }
  this->Perform(std::move(pending_io));
  if (unreachable) {
    this->report_failure();
  }
}

void EndpointOwner::Maintain() {
  PendingIo pending_io;
  {
    std::lock_guard lock(this->mutex);
    const TimePoint now = Now();
    // This function need not answer the expired requests: the coroutine that waits for a request
    // wakes at the request's queue deadline and refuses the request.
    this->queue->TakeExpired(now);
    for (const auto& transaction : this->transactions.Expire(now)) {
      this->pool.Release(transaction.connection, false, now);
      this->CloseConnection(transaction.connection, &pending_io);
    }
    this->ProcessQueue(now, &pending_io);
  }
  this->Perform(std::move(pending_io));
}

void EndpointOwner::Stop() {
  PendingIo pending_io;
  {
    std::lock_guard lock(this->mutex);
    this->stopped = true;
    this->RefuseWaiting(MakeRefusal(Reason::kStopping, "the daemon is stopping"), &pending_io);
    while (!this->connections.empty()) {
      this->CloseConnection(this->connections.begin()->first, &pending_io);
    }
  }
  this->Perform(std::move(pending_io));
}

}  // namespace poplarmoor
