#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/endpoint_load.h"
#include "kernel/admission/admission_queue.h"
#include "kernel/admission/concurrency_limit.h"
#include "kernel/connection_pool.h"
#include "kernel/endpoint_info.h"
#include "kernel/service_settings.h"
#include "kernel/statement_request.h"
#include "kernel/statement_result.h"
#include "kernel/transaction_table.h"
#include "net/endpoint_reply.h"
#include "net/one_shot_promise.h"

namespace poplarmoor {

class EndpointConnection;
class EndpointDriver;
struct Telemetry;

/// Runs requests at one endpoint that this daemon owns: holds the endpoint's queue, slots,
/// connections and transactions. Classes of kernel/, such as AdmissionQueue, make the decisions;
/// this class performs the I/O that they require. Thread-safe.
class EndpointOwner : public std::enable_shared_from_this<EndpointOwner> {
 public:
  /// @param executor Executor of the I/O threads.
  /// @param info Name and address of the endpoint.
  /// @param settings Settings of the service that the endpoint belongs to.
  /// @param driver Makes connections to the endpoint; must outlive this object.
  /// @param telemetry Metrics and spans; must outlive this object.
  /// @param report_failure Called when connecting to the endpoint fails or a request to it times
  ///     out.
  EndpointOwner(boost::asio::any_io_executor executor,
                EndpointInfo info,
                const ServiceSettings& settings,
                EndpointDriver* driver,
                Telemetry* telemetry,
                std::function<void()> report_failure);

  /// Applies changed settings of the service.
  void Configure(const ServiceSettings& settings);

  /// Queues a request and runs it on a connection.
  /// @param request Request; its transaction id, if set, must have been assigned by this owner.
  /// @param term Term of the group; ignored for a statement of a transaction, which runs in the
  ///     term in which the transaction began.
  /// @returns The outcome, known at the request's deadline at the latest. For a write, kRan does
  ///     not mean that replicas have confirmed the write.
  boost::asio::awaitable<StatementResult> Run(StatementRequest request, uint64_t term);

  /// Ends the transactions that exceed a time limit, removes the queued requests whose deadline has
  /// passed, and opens or closes connections as the pool decides. To be called periodically.
  void Maintain();

  /// Refuses the waiting requests that belong to no transaction, and closes all connections; the
  /// endpoint then rolls back the open transactions.
  void Stop();

  /// @returns The current load, for operators.
  EndpointLoad Load();

  /// @returns The number of open transactions.
  size_t TransactionCount();

  const std::string& address() const { return this->info.address; }

 private:
  using ConnectionId = ConnectionPool::ConnectionId;
  using Connection = std::shared_ptr<EndpointConnection>;

  /// Result of the admission of a request. If `reason` is kNone, the request may run on
  /// `connection`; otherwise the request is refused.
  struct AdmissionResult {
    Reason reason = Reason::kNone;
    std::string message;
    Duration retry_after{0};
    ConnectionId id = 0;
    // Null for a statement of a transaction, because the transaction already has a connection.
    Connection connection;
  };

  using PendingResult = OneShotPromise<AdmissionResult>;

  /// A request that waits in the queue for a slot, or holds a slot and waits for a connection.
  struct Waiter {
    std::shared_ptr<PendingResult> pending_result;
    Rank rank = Rank::kStandard;
    bool needs_connection = true;
    bool is_begin = false;
  };

  /// I/O that was decided on while the mutex was held; Perform() does it without the mutex.
  struct PendingIo {
    std::vector<std::pair<Waiter, AdmissionResult>> admission_results;
    std::vector<ConnectionId> open;
    std::vector<Connection> close;
  };

  static AdmissionResult MakeAdmissionRefusal(Reason reason,
                                              std::string message,
                                              Duration retry_after = Duration::zero());
  boost::asio::awaitable<AdmissionResult> Admit(const StatementRequest& request);
  boost::asio::awaitable<StatementResult> RunAdmitted(StatementRequest request, uint64_t term);
  boost::asio::awaitable<StatementResult> RunInTransaction(StatementRequest request);
  boost::asio::awaitable<EndpointReply> Execute(Connection connection,
                                                StatementRequest request,
                                                uint64_t term);
  boost::asio::awaitable<void> OpenConnection(ConnectionId id);

  // The following methods are called with the mutex held and add the I/O to do to `pending_io`.
  void ProcessQueue(TimePoint now, PendingIo* pending_io);
  void ReleaseConnection(ConnectionId id,
                         const EndpointReply& reply,
                         Duration waited,
                         TimePoint now,
                         PendingIo* pending_io);
  void ReturnSlot(Rank rank, const EndpointReply& reply, Duration latency, TimePoint now);
  void CloseConnection(ConnectionId id, PendingIo* pending_io);
  void RefuseWaiting(const StatementResult& refusal, PendingIo* pending_io);
  void ApplySettings(const ServiceSettings& settings);

  void Perform(PendingIo pending_io);

  boost::asio::any_io_executor executor;
  const EndpointInfo info;
  EndpointDriver* driver;
  Telemetry* telemetry;
  std::function<void()> report_failure;

  std::mutex mutex;  // Guards all members below.
  ServiceSettings settings;
  std::unique_ptr<AdmissionQueue> queue;
  ConcurrencyLimit limit;
  ConnectionPool pool;
  TransactionTable transactions;
  std::map<ConnectionId, Connection> connections;  // Open connections.
  std::map<uint64_t, Waiter> waiters;              // Keyed by AdmissionItem::id.

  // Keys in `waiters` of the requests that hold a slot and wait for a connection.
  std::deque<uint64_t> waiting_for_connection;

  uint64_t next_item_id = 1;
  int pending_begins = 0;  // Begin requests that are queued or running.

  // Failure of the latest attempt to open a connection; `reason` is kNone if the attempt succeeded.
  StatementResult open_failure;
  bool stopped = false;
};

}  // namespace poplarmoor
