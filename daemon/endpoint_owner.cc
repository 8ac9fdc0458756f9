#include "daemon/endpoint_owner.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "daemon/observers.h"
#include "daemon/refusal.h"
#include "net/endpoint_connection.h"
#include "net/endpoint_driver.h"
#include "net/now.h"
#include "net/random_bits.h"
#include "telemetry/span.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr Duration kTransactionIdleLimit = 30s;  // Between two statements.
constexpr Duration kTransactionAgeLimit = 300s;  // From begin to commit.
constexpr Duration kRetryBegin = 20ms;           // Hint when transactions hold all connections.
constexpr Duration kLongestRefusalTime = 100ms;  // For a refusal to reach the entry.

/// @returns When a request that still waits is refused: early enough that the refusal reaches the
///     entry before the deadline. Without it, the entry has to answer kMayHaveRun.
TimePoint QueueLimit(TimePoint now, TimePoint deadline) {
  return deadline - std::clamp<Duration>((deadline - now) / 8, 0ms, kLongestRefusalTime);
}

AdmissionSettings MakeAdmissionSettings(const ServiceSettings& settings) {
  AdmissionSettings admission;
  admission.ranks = settings.ranks;
  return admission;
}

bool IsInTransaction(Operation operation) {
  return operation == Operation::kTransactionRead || operation == Operation::kTransactionWrite ||
         operation == Operation::kCommit || operation == Operation::kRollback;
}

bool EndsTransaction(Operation operation) {
  return operation == Operation::kCommit || operation == Operation::kRollback;
}

}  // namespace

EndpointOwner::EndpointOwner(asio::any_io_executor executor,
                             EndpointInfo info,
                             const ServiceSettings& settings,
                             EndpointDriver* driver,
                             Observers* observers,
                             std::function<void()> report_failure)
    : executor(executor),
      info(std::move(info)),
      driver(driver),
      observers(observers),
      report_failure(std::move(report_failure)),
      limit(settings.slots, PoolSettings::FromService(settings).budget),
      pool(PoolSettings::FromService(settings)),
      transactions(kTransactionIdleLimit, kTransactionAgeLimit) {
  this->ApplySettings(settings);
}

// --- Settings and state -------------------------------------------------------------------------

void EndpointOwner::Configure(const ServiceSettings& settings) {
  std::lock_guard lock(this->mutex);
  this->ApplySettings(settings);
}

void EndpointOwner::ApplySettings(const ServiceSettings& new_settings) {
  // A queue is replaced only when it is new: waiting items cannot move to another policy.
  if (this->queue == nullptr) {
    this->queue = Registry<AdmissionQueue>::Create(new_settings.admission);
  }
  this->settings = new_settings;
  const PoolSettings pool_settings = PoolSettings::FromService(new_settings);
  this->pool.Configure(pool_settings);
  this->limit.Configure(new_settings.slots, pool_settings.budget);
  this->queue->Configure(MakeAdmissionSettings(new_settings));
  this->queue->SetSlots(this->limit.Limit());
}

EndpointLoad EndpointOwner::Load() {
  std::lock_guard lock(this->mutex);
  EndpointLoad load;
  load.endpoint = this->info.name;
  load.address = this->info.address;
  for (const auto& [rank, name] : kRankNames.rows) {
    load.waiting[static_cast<size_t>(rank)] = this->queue->Waiting(rank);
  }
  load.running = this->queue->Running();
  load.slots = this->limit.Limit();
  load.connections = this->pool.Size();
  load.idle = this->pool.Idle();
  load.transactions = this->transactions.size();
  return load;
}

size_t EndpointOwner::Transactions() {
  std::lock_guard lock(this->mutex);
  return this->transactions.size();
}

EndpointOwner::Grant EndpointOwner::MakeGrantRefusal(Reason reason,
                                                     std::string message,
                                                     Duration retry_after) {
  Grant grant;
  grant.reason = reason;
  grant.message = std::move(message);
  grant.retry_after = retry_after;
  return grant;
}

// --- Requests -----------------------------------------------------------------------------------

asio::awaitable<StatementResult> EndpointOwner::Run(StatementRequest request, uint64_t term) {
  if (IsInTransaction(request.operation)) {
    return this->RunInTransaction(std::move(request));
  }
  return this->RunAdmitted(std::move(request), term);
}

asio::awaitable<EndpointOwner::Grant> EndpointOwner::Admit(const StatementRequest& request) {
  const TimePoint now = Now();
  AdmissionItem item;
  item.rank = request.rank;
  item.site = request.site;
  item.deadline = QueueLimit(now, request.deadline);
  Waiter waiter;
  waiter.slot = std::make_shared<Slot>(co_await asio::this_coro::executor);
  waiter.rank = request.rank;
  waiter.is_begin = request.operation == Operation::kBegin;
  waiter.needs_connection = !IsInTransaction(request.operation);
  const std::shared_ptr<Slot> slot = waiter.slot;
  Work work;
  {
    std::lock_guard lock(this->mutex);
    if (this->stopped) {
      co_return MakeGrantRefusal(Reason::kStopping, "the daemon is stopping");
    }
    if (waiter.needs_connection && this->open_failure.reason != Reason::kNone &&
        this->connections.empty()) {
      // The endpoint cannot be reached; waiting for the next attempt would hold the request back
      // from other endpoints.
      this->Pump(now, &work);
      Grant refusal = MakeGrantRefusal(this->open_failure.reason, this->open_failure.message);
      asio::post(this->executor,
                 [self = this->shared_from_this(), work = std::move(work)]() mutable {
                   self->Perform(std::move(work));
                 });
      co_return refusal;
    }
    item.id = this->next_item++;
    const AdmissionDecision decision = this->queue->Offer(item, now);
    if (!decision.queued) {
      co_return MakeGrantRefusal(decision.reason,
                                 "the queue of endpoint " + this->info.name + " is too long",
                                 decision.retry_after);
    }
    this->waiters.emplace(item.id, std::move(waiter));
    this->Pump(now, &work);
  }
  this->Perform(std::move(work));
  std::optional<Grant> grant = co_await slot->Wait(item.deadline);
  if (grant) {
    co_return std::move(*grant);
  }
  Work after;
  {
    std::lock_guard lock(this->mutex);
    const auto found = this->waiters.find(item.id);
    if (found != this->waiters.end()) {
      const auto holds_slot = std::find(this->ready.begin(), this->ready.end(), item.id);
      if (holds_slot != this->ready.end()) {
        this->ready.erase(holds_slot);
        this->queue->Abandoned(item.rank);
      } else {
        this->queue->Cancel(item.id);
      }
      this->waiters.erase(found);
    }
    this->Pump(Now(), &after);
  }
  this->Perform(std::move(after));
  co_return MakeGrantRefusal(Reason::kDeadlineExceeded,
                             "the deadline passed in the queue of endpoint " + this->info.name);
}

asio::awaitable<EndpointReply> EndpointOwner::Execute(Connection connection,
                                                      StatementRequest request,
                                                      uint64_t term) {
  Span span(&this->observers->spans, "endpoint.request", request.trace_id, request.span_id);
  span.SetAttribute("pm.operation", kOperationNames.NameOf(request.operation));
  const TimePoint start = Now();
  const Duration remaining = std::max<Duration>(request.deadline - start, 1ms);
  EndpointReply reply = co_await connection->Run(request, term, remaining);
  this->observers->metrics.Observe(Metric::kEndpointSeconds, {request.service}, Now() - start);
  if (reply.result.verdict != Verdict::kRan) {
    span.SetFailed(kReasonNames.NameOf(reply.result.reason));
  }
  co_return reply;
}

asio::awaitable<StatementResult> EndpointOwner::RunAdmitted(StatementRequest request,
                                                            uint64_t term) {
  const auto self = this->shared_from_this();
  const bool is_begin = request.operation == Operation::kBegin;
  if (is_begin) {
    // Begins must not hold slots while all connections for transactions are taken: the statements
    // of the open transactions need the slots to finish.
    std::lock_guard lock(this->mutex);
    const int max_pinned = PoolSettings::FromService(this->settings).max_pinned;
    if (this->pool.Pinned() + this->begins >= max_pinned) {
      StatementResult result =
          MakeRefusal(Reason::kOverloaded, "endpoint " + this->info.name + " has " +
                                               std::to_string(max_pinned) + " open transactions");
      result.retry_after = kRetryBegin;
      co_return result;
    }
    ++this->begins;
  }
  const TimePoint queued_at = Now();
  Grant grant = co_await this->Admit(request);
  this->observers->metrics.Observe(
      Metric::kQueueSeconds, {request.service, kRankNames.NameOf(request.rank)}, Now() - queued_at);
  if (grant.reason != Reason::kNone) {
    if (is_begin) {
      std::lock_guard lock(this->mutex);
      --this->begins;
    }
    StatementResult result = MakeRefusal(grant.reason, std::move(grant.message));
    result.retry_after = grant.retry_after;
    co_return result;
  }
  const TimePoint sent_at = Now();
  EndpointReply reply;
  if (sent_at >= request.deadline) {
    reply.result = MakeRefusal(Reason::kDeadlineExceeded, "the deadline passed in the queue");
    reply.usable = true;
  } else {
    reply = co_await this->Execute(grant.connection, request, term);
  }
  const TimePoint now = Now();
  Work work;
  {
    std::lock_guard lock(this->mutex);
    this->begins -= is_begin ? 1 : 0;
    this->RecordSlot(request.rank, reply, now - sent_at, now);
    if (is_begin && reply.result.verdict == Verdict::kRan && reply.usable) {
      this->pool.OnAnswer(grant.id, now);
      reply.result.transaction =
          this->transactions.Begin(this->info.name, grant.id, term, now, RandomBits());
    } else {
      this->ReleaseConnection(grant.id, reply, now - sent_at, now, &work);
    }
    this->Pump(now, &work);
  }
  this->Perform(std::move(work));
  if (reply.timed_out) {
    this->report_failure();
  }
  co_return std::move(reply.result);
}

asio::awaitable<StatementResult> EndpointOwner::RunInTransaction(StatementRequest request) {
  const auto self = this->shared_from_this();
  const std::string id = request.transaction;
  ConnectionId connection_id = 0;
  uint64_t term = 0;
  Connection connection;
  {
    std::lock_guard lock(this->mutex);
    const auto decision = this->transactions.Admit(id, request.sequence, Now());
    if (decision.transaction == nullptr) {
      co_return MakeRefusal(decision.reason, decision.reason == Reason::kOutOfSequence
                                                 ? "the statement has the wrong sequence number, "
                                                   "or another statement is under way"
                                                 : "the transaction does not exist any more");
    }
    connection_id = decision.transaction->connection;
    term = decision.transaction->term;
    const auto found = this->connections.find(connection_id);
    if (found == this->connections.end()) {
      this->transactions.End(id);
      co_return MakeRefusal(Reason::kTransactionGone, "the transaction's connection was closed");
    }
    connection = found->second;
  }
  // Commit and rollback take no slot: they are short, and they free what others wait for.
  const bool takes_slot = !EndsTransaction(request.operation);
  if (takes_slot) {
    Grant grant = co_await this->Admit(request);
    if (grant.reason != Reason::kNone) {
      std::lock_guard lock(this->mutex);
      this->transactions.Finished(id, false, Now());
      StatementResult result = MakeRefusal(grant.reason, std::move(grant.message));
      result.retry_after = grant.retry_after;
      co_return result;
    }
  }
  const TimePoint sent_at = Now();
  EndpointReply reply = co_await this->Execute(connection, request, term);
  const TimePoint now = Now();
  Work work;
  {
    std::lock_guard lock(this->mutex);
    if (takes_slot) {
      this->RecordSlot(request.rank, reply, now - sent_at, now);
    }
    // A statement that the endpoint could not run leaves the transaction as it was.
    const bool stays =
        !EndsTransaction(request.operation) && reply.usable &&
        (reply.result.verdict == Verdict::kRan || reply.result.reason == Reason::kNoSlot ||
         reply.result.reason == Reason::kBadRequest);
    if (stays) {
      this->pool.OnAnswer(connection_id, now);
      this->transactions.Finished(id, reply.result.verdict == Verdict::kRan, now);
    } else {
      this->transactions.End(id);
      // Only an answered commit or rollback leaves the connection without a transaction.
      reply.usable = reply.usable && reply.result.verdict == Verdict::kRan;
      this->ReleaseConnection(connection_id, reply, now - sent_at, now, &work);
    }
    this->Pump(now, &work);
  }
  this->Perform(std::move(work));
  if (reply.timed_out) {
    this->report_failure();
  }
  co_return std::move(reply.result);
}

}  // namespace poplarmoor
