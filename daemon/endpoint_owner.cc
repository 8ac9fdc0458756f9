#include "daemon/endpoint_owner.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "daemon/refusal.h"
#include "daemon/telemetry.h"
#include "net/endpoint_connection.h"
#include "net/endpoint_driver.h"
#include "net/now.h"
#include "net/random_bits.h"
#include "telemetry/span.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Longest time between two statements of a transaction; after a longer pause, the owner ends the
// transaction.
constexpr Duration kTransactionIdleLimit = 30s;

// Longest time from the begin to the commit of a transaction; the owner ends a transaction that is
// open for longer.
constexpr Duration kTransactionAgeLimit = 300s;

/// Time after which a caller should retry a begin request that was refused because transactions
/// hold all connections that they may use.
constexpr Duration kBeginRetryAfter = 20ms;

/// Longest time that the owner reserves, at the end of a request's time limit, for sending a
/// refusal to the entry daemon.
constexpr Duration kMaxRefusalTransferTime = 100ms;

/// @returns The time at which the owner refuses a request that still waits in the queue. It is
///     early enough that the refusal reaches the entry daemon before the request's deadline. An
///     entry daemon that receives no refusal has to answer kMayHaveRun.
TimePoint QueueDeadline(TimePoint now, TimePoint deadline) {
  return deadline - std::clamp<Duration>((deadline - now) / 8, 0ms, kMaxRefusalTransferTime);
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
                             Telemetry* telemetry,
                             std::function<void()> report_failure)
    : executor(executor),
      info(std::move(info)),
      driver(driver),
      telemetry(telemetry),
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
  // The queue is created only once, so a later change of the admission policy has no effect: the
  // waiting requests could not move to a queue of another policy.
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

size_t EndpointOwner::TransactionCount() {
  std::lock_guard lock(this->mutex);
  return this->transactions.size();
}

EndpointOwner::AdmissionResult EndpointOwner::MakeAdmissionRefusal(Reason reason,
                                                                   std::string message,
                                                                   Duration retry_after) {
  AdmissionResult admission_result;
  admission_result.reason = reason;
  admission_result.message = std::move(message);
  admission_result.retry_after = retry_after;
  return admission_result;
}

// --- Requests -----------------------------------------------------------------------------------

asio::awaitable<StatementResult> EndpointOwner::Run(StatementRequest request, uint64_t term) {
  if (IsInTransaction(request.operation)) {
    return this->RunInTransaction(std::move(request));
  }
  return this->RunAdmitted(std::move(request), term);
}

asio::awaitable<EndpointOwner::AdmissionResult> EndpointOwner::Admit(
    const StatementRequest& request) {
  const TimePoint now = Now();
  AdmissionItem item;
  item.rank = request.rank;
  item.site = request.site;
  item.deadline = QueueDeadline(now, request.deadline);
  Waiter waiter;
  waiter.pending_result = std::make_shared<PendingResult>(co_await asio::this_coro::executor);
  waiter.rank = request.rank;
  waiter.is_begin = request.operation == Operation::kBegin;
  waiter.needs_connection = !IsInTransaction(request.operation);
  const std::shared_ptr<PendingResult> pending_result = waiter.pending_result;
  PendingIo pending_io;
  {
    std::lock_guard lock(this->mutex);
    if (this->stopped) {
      co_return MakeAdmissionRefusal(Reason::kStopping, "the daemon is stopping");
    }
    if (waiter.needs_connection && this->open_failure.reason != Reason::kNone &&
        this->connections.empty()) {
      // The endpoint cannot be reached. Refuse this new request without queueing it, so that the
      // entry daemon can try other endpoints instead of waiting for the next attempt to connect.
      // ProcessQueue() starts that attempt if it is due.
      this->ProcessQueue(now, &pending_io);
      AdmissionResult refusal =
          MakeAdmissionRefusal(this->open_failure.reason, this->open_failure.message);
      asio::post(this->executor,
                 [self = this->shared_from_this(), pending_io = std::move(pending_io)]() mutable {
                   self->Perform(std::move(pending_io));
                 });
      co_return refusal;
    }
    item.id = this->next_item_id++;
    const AdmissionDecision decision = this->queue->Offer(item, now);
    if (!decision.queued) {
      co_return MakeAdmissionRefusal(decision.reason,
                                     "the queue of endpoint " + this->info.name + " is too long",
                                     decision.retry_after);
    }
    this->waiters.emplace(item.id, std::move(waiter));
    this->ProcessQueue(now, &pending_io);
  }
  this->Perform(std::move(pending_io));
  std::optional<AdmissionResult> admission_result = co_await pending_result->Wait(item.deadline);
  if (admission_result) {
    co_return std::move(*admission_result);
  }
  PendingIo io_after_expiry;
  {
    std::lock_guard lock(this->mutex);
    const auto found = this->waiters.find(item.id);
    if (found != this->waiters.end()) {
      const auto holds_slot = std::find(this->waiting_for_connection.begin(),
                                        this->waiting_for_connection.end(), item.id);
      if (holds_slot != this->waiting_for_connection.end()) {
        this->waiting_for_connection.erase(holds_slot);
        this->queue->Abandoned(item.rank);
      } else {
        this->queue->Cancel(item.id);
      }
      this->waiters.erase(found);
    }
    this->ProcessQueue(Now(), &io_after_expiry);
  }
  this->Perform(std::move(io_after_expiry));
  co_return MakeAdmissionRefusal(
      Reason::kDeadlineExceeded,
      "the deadline passed while the request waited in the queue of endpoint " + this->info.name);
}

asio::awaitable<EndpointReply> EndpointOwner::Execute(Connection connection,
                                                      StatementRequest request,
                                                      uint64_t term) {
  Span span(&this->telemetry->spans, "endpoint.request", request.trace_id, request.span_id);
  span.SetAttribute("pm.operation", kOperationNames.NameOf(request.operation));
  const TimePoint start = Now();
  const Duration remaining = std::max<Duration>(request.deadline - start, 1ms);
  EndpointReply reply = co_await connection->Run(request, term, remaining);
  this->telemetry->metrics.Observe(Metric::kEndpointSeconds, {request.service}, Now() - start);
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
    // A begin request must not hold a slot while transactions hold all connections that they may
    // use: the statements of the open transactions need the slots to finish.
    std::lock_guard lock(this->mutex);
    const int max_pinned = PoolSettings::FromService(this->settings).max_pinned;
    if (this->pool.Pinned() + this->pending_begins >= max_pinned) {
      StatementResult result =
          MakeRefusal(Reason::kOverloaded, "endpoint " + this->info.name + " has " +
                                               std::to_string(max_pinned) +
                                               " open transactions, which is the limit");
      result.retry_after = kBeginRetryAfter;
      co_return result;
    }
    ++this->pending_begins;
  }
  const TimePoint queued_at = Now();
  AdmissionResult admission_result = co_await this->Admit(request);
  this->telemetry->metrics.Observe(
      Metric::kQueueSeconds, {request.service, kRankNames.NameOf(request.rank)}, Now() - queued_at);
  if (admission_result.reason != Reason::kNone) {
    if (is_begin) {
      std::lock_guard lock(this->mutex);
      --this->pending_begins;
    }
    StatementResult result =
        MakeRefusal(admission_result.reason, std::move(admission_result.message));
    result.retry_after = admission_result.retry_after;
    co_return result;
  }
  const TimePoint sent_at = Now();
  EndpointReply reply;
  if (sent_at >= request.deadline) {
    reply.result = MakeRefusal(Reason::kDeadlineExceeded,
                               "the deadline passed while the request waited in the queue");
    reply.usable = true;
  } else {
    reply = co_await this->Execute(admission_result.connection, request, term);
  }
  const TimePoint now = Now();
  PendingIo pending_io;
  {
    std::lock_guard lock(this->mutex);
    this->pending_begins -= is_begin ? 1 : 0;
    this->ReturnSlot(request.rank, reply, now - sent_at, now);
    if (is_begin && reply.result.verdict == Verdict::kRan && reply.usable) {
      this->pool.OnAnswer(admission_result.id, now);
      reply.result.transaction =
          this->transactions.Begin(this->info.name, admission_result.id, term, now, RandomBits());
    } else {
      this->ReleaseConnection(admission_result.id, reply, now - sent_at, now, &pending_io);
    }
    this->ProcessQueue(now, &pending_io);
  }
  this->Perform(std::move(pending_io));
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
      co_return MakeRefusal(decision.reason,
                            decision.reason == Reason::kOutOfSequence
                                ? "the statement has the wrong sequence number, "
                                  "or another statement of the transaction is running"
                                : "the transaction no longer exists");
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
  // Commit and rollback take no slot: they are short, and they free the connection that other
  // requests wait for.
  const bool takes_slot = !EndsTransaction(request.operation);
  if (takes_slot) {
    AdmissionResult admission_result = co_await this->Admit(request);
    if (admission_result.reason != Reason::kNone) {
      std::lock_guard lock(this->mutex);
      this->transactions.Finished(id, false, Now());
      StatementResult result =
          MakeRefusal(admission_result.reason, std::move(admission_result.message));
      result.retry_after = admission_result.retry_after;
      co_return result;
    }
  }
  const TimePoint sent_at = Now();
  EndpointReply reply = co_await this->Execute(connection, request, term);
  const TimePoint now = Now();
  PendingIo pending_io;
  {
    std::lock_guard lock(this->mutex);
    if (takes_slot) {
      this->ReturnSlot(request.rank, reply, now - sent_at, now);
    }
    // When the endpoint refuses a statement with kNoSlot or kBadRequest, the transaction stays open
    // and unchanged.
    const bool stays =
        !EndsTransaction(request.operation) && reply.usable &&
        (reply.result.verdict == Verdict::kRan || reply.result.reason == Reason::kNoSlot ||
         reply.result.reason == Reason::kBadRequest);
    if (stays) {
      this->pool.OnAnswer(connection_id, now);
      this->transactions.Finished(id, reply.result.verdict == Verdict::kRan, now);
    } else {
      this->transactions.End(id);
      // The connection is reusable only after the endpoint has performed a commit or rollback;
      // otherwise the transaction may still be open on it.
      reply.usable = reply.usable && reply.result.verdict == Verdict::kRan;
      this->ReleaseConnection(connection_id, reply, now - sent_at, now, &pending_io);
    }
    this->ProcessQueue(now, &pending_io);
  }
  this->Perform(std::move(pending_io));
  if (reply.timed_out) {
    this->report_failure();
  }
  co_return std::move(reply.result);
}

}  // namespace poplarmoor
