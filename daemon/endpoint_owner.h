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
#include "kernel/admission_queue.h"
#include "kernel/concurrency_limit.h"
#include "kernel/connection_pool.h"
#include "kernel/endpoint_info.h"
#include "kernel/service_settings.h"
#include "kernel/statement_request.h"
#include "kernel/statement_result.h"
#include "kernel/transaction_table.h"
#include "net/endpoint_reply.h"
#include "net/one_shot.h"

namespace poplarmoor {

class EndpointConnection;
class EndpointDriver;
struct Observers;

/// The owner's side of one endpoint: queue, slots, connections and transactions. Thread-safe. The
/// kernel objects decide; this class performs the I/O between their calls.
class EndpointOwner : public std::enable_shared_from_this<EndpointOwner> {
 public:
  /// @param executor Executor of the I/O threads.
  /// @param info The endpoint.
  /// @param settings Settings of its service.
  /// @param driver Makes connections; must outlive this object.
  /// @param observers Metrics and spans; must outlive this object.
  /// @param report_failure Called when the endpoint cannot be reached.
  EndpointOwner(boost::asio::any_io_executor executor,
                EndpointInfo info,
                const ServiceSettings& settings,
                EndpointDriver* driver,
                Observers* observers,
                std::function<void()> report_failure);

  /// Takes over changed settings.
  void Configure(const ServiceSettings& settings);

  /// Queues a request and runs it on a connection.
  /// @param request Request; its transaction id is local to this owner.
  /// @param term Term of the group; a transaction's statements use the term of its begin.
  /// @returns The outcome, at its deadline at the latest. A write is not confirmed yet.
  boost::asio::awaitable<StatementResult> Run(StatementRequest request, uint64_t term);

  /// Expires transactions and queued requests, and opens or closes connections.
  void Maintain();

  /// Closes all connections; the endpoint rolls back what is open.
  void Stop();

  EndpointLoad Load();
  size_t Transactions();

  const std::string& address() const { return this->info.address; }

 private:
  using ConnectionId = ConnectionPool::ConnectionId;
  using Connection = std::shared_ptr<EndpointConnection>;

  /// What an admitted request gets, or why it gets nothing.
  struct Grant {
    Reason reason = Reason::kNone;
    std::string message;
    Duration retry_after{0};
    ConnectionId id = 0;
    Connection connection;  // Null for a transaction's statement, which has one.
  };

  using Slot = OneShot<Grant>;

  /// A request in the queue, or one that holds a slot and waits for a connection.
  struct Waiter {
    std::shared_ptr<Slot> slot;
    Rank rank = Rank::kStandard;
    bool needs_connection = true;
    bool is_begin = false;
  };

  /// I/O that follows from a decision; performed without the lock.
  struct Work {
    std::vector<std::pair<Waiter, Grant>> grants;
    std::vector<ConnectionId> open;
    std::vector<Connection> close;
  };

  static Grant MakeGrantRefusal(Reason reason,
                                std::string message,
                                Duration retry_after = Duration::zero());
  boost::asio::awaitable<Grant> Admit(const StatementRequest& request);
  boost::asio::awaitable<StatementResult> RunAdmitted(StatementRequest request, uint64_t term);
  boost::asio::awaitable<StatementResult> RunInTransaction(StatementRequest request);
  boost::asio::awaitable<EndpointReply> Execute(Connection connection,
                                                StatementRequest request,
                                                uint64_t term);
  boost::asio::awaitable<void> OpenConnection(ConnectionId id);

  // The following are called with the lock held and add to `work`.
  void Pump(TimePoint now, Work* work);
  void ReleaseConnection(ConnectionId id,
                         const EndpointReply& reply,
                         Duration waited,
                         TimePoint now,
                         Work* work);
  void RecordSlot(Rank rank, const EndpointReply& reply, Duration latency, TimePoint now);
  void CloseConnection(ConnectionId id, Work* work);
  void RefuseWaiting(const StatementResult& reason, Work* work);
  void ApplySettings(const ServiceSettings& settings);

  void Perform(Work work);

  boost::asio::any_io_executor executor;
  const EndpointInfo info;
  EndpointDriver* driver;
  Observers* observers;
  std::function<void()> report_failure;

  std::mutex mutex;  // Guards everything below.
  ServiceSettings settings;
  std::unique_ptr<AdmissionQueue> queue;
  ConcurrencyLimit limit;
  ConnectionPool pool;
  TransactionTable transactions;
  std::map<ConnectionId, Connection> connections;  // Open ones.
  std::map<uint64_t, Waiter> waiters;              // By id of the queued item.
  std::deque<uint64_t> ready;                      // Hold a slot and wait for a connection.
  uint64_t next_item = 1;
  int begins = 0;                // Begins in the queue or under way.
  StatementResult open_failure;  // Of the last attempt to open a connection; kNone after success.
  bool stopped = false;
};

}  // namespace poplarmoor
