#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kernel/endpoint_record.h"
#include "kernel/load_shedder.h"
#include "kernel/name_table.h"
#include "kernel/session_state.h"
#include "kernel/statement_queue.h"
#include "session/endpoint_channel.h"
#include "session/session_codec.h"

namespace poplarmoor {

class EndpointSession;
class RelayRouter;

/// A connection leased to one statement or transaction.
struct EndpointLease {
  std::unique_ptr<EndpointChannel> connection;
  bool transaction = false;
  bool relayed = false;                            // The connection belongs to a gateway.
  TimePoint since;                                 // When the lease was granted.
  AcquireFailure failure = AcquireFailure::kNone;  // Why `connection` is null.
};

/// This daemon's connections to one endpoint, and the endpoint's state as observed over them.
class EndpointPool : public std::enable_shared_from_this<EndpointPool> {
 public:
  EndpointPool(boost::asio::any_io_executor executor,
               const SessionCodec* codec,
               EndpointRecord record,
               RelayRouter* relays);
  ~EndpointPool();

  /// Leases a connection.
  /// @param rank Urgency of the statement; 0 is the most urgent.
  /// @param transaction Whether the lease lasts until a transaction ends.
  /// @param max_wait Longest wait for a connection.
  /// @param session Session that will use the connection; one that it used last is preferred.
  /// @returns A lease; without a connection it holds the failure.
  boost::asio::awaitable<EndpointLease> Acquire(int rank,
                                                bool transaction,
                                                Duration max_wait,
                                                const SessionState& session);

  /// Leases one of this daemon's own connections, even when its sessions use gateways.
  boost::asio::awaitable<EndpointLease> AcquireDirect(int rank,
                                                      bool transaction,
                                                      Duration max_wait,
                                                      const SessionState& session);

  /// Sets whether the sessions of this daemon reach the endpoint through gateways.
  void SetRelayed(bool relayed);
  bool is_relayed() const { return this->relayed; }

  /// @returns Whether statements are relayed through another daemon: always after SetRelayed(true),
  ///     as in a large fleet, and while the endpoint is down, because it may be unreachable from
  ///     this daemon only.
  bool UsesRelay() const;

  /// Ends a lease. The connection is kept as an idle one when it is still open.
  void Release(EndpointLease lease);

  /// Sends one administrative order over an idle or a new connection, or through a gateway.
  /// @param fresh Whether to open a new connection of this daemon for the administrative order.
  /// @throws EndpointSessionError, std::runtime_error.
  boost::asio::awaitable<EndpointReport> SendOrder(EndpointOrder order,
                                                   uint64_t term,
                                                   Duration limit,
                                                   bool fresh);

  /// Replaces the endpoint's registry record. Idle connections are closed when the endpoint has
  /// restarted or moved to another address.
  void Update(const EndpointRecord& record);

  /// Sets how many connections this daemon may use.
  /// @param single_statement_limit Statements outside transactions that run concurrently.
  /// @param share Number of connections that every daemon can have at the same time.
  /// @param borrowed Number of connections beyond the share, which the endpoint may refuse.
  void SetLimits(uint32_t single_statement_limit, uint32_t share, uint32_t borrowed);

  /// Sets the time that a statement may take, including the wait in the endpoint's queue, before
  /// less urgent statements are refused.
  void SetStatementTimeLimit(Duration max_statement_time) {
    this->shedder.SetTimeLimit(max_statement_time);
  }

  /// Closes idle connections that are not meant to be kept and have been idle for longer than
  /// `age`. Also raises limits that were reduced earlier, once the reduction has expired.
  void CloseIdle(Duration age);

  /// Opens the connections that are kept idle, one at a time and in advance, so that the first
  /// statements after a start do not all wait for a connection.
  void WarmUp();

  /// Closes all connections; statements in progress fail.
  void CloseAll();

  /// Records that a statement was sent, for Silence().
  void OnSent(EndpointChannel* connection);
  void OnAnswered(EndpointChannel* connection);

  /// Records that the endpoint refused a statement because its queue is full. For a while, this
  /// daemon runs fewer statements at it concurrently.
  void NoteOverload();

  /// Records that the endpoint lacked a demanded log position.
  /// @param age Age of the primary's position that the read demanded.
  void NoteBehind(Duration age);

  /// Records that the endpoint held a demanded log position.
  /// @param age Age of the primary's position that the read demanded.
  void NoteCaughtUp(Duration age);

  /// @param age Age of the primary's position that a read demands.
  /// @returns Whether the endpoint is likely to hold the position.
  bool IsFreshEnough(Duration age) const;

  /// @returns How long the oldest statement in progress has waited without any answer from the
  ///     endpoint.
  Duration Silence() const;

  /// @returns The executor of the I/O thread.
  const boost::asio::any_io_executor& io_executor() const { return this->executor; }

  const EndpointRecord& record() const { return this->current; }
  /// @returns Statements and transactions of this daemon that run at the endpoint or wait for it.
  uint32_t busy() const { return this->admission.Busy() + this->relayed_in_use; }
  const StatementQueue& queue() const { return this->admission; }

  bool down = false;  // No new connection to the endpoint can be opened.
  TimePoint next_down_probe;
  Duration down_interval{};  // Interval between probes while the endpoint is down.
  bool suspected = false;    // A connection failed; a probe has to find out why.
  bool probing = false;      // A probe over new connections is in progress.
  TimePoint avoid_until;     // Until then other endpoints are preferred, because this one is
                             // overloaded or unreachable.
  TimePoint behind_until;    // Until then, reads that demand a position up to `behind_age` old go
                             // elsewhere.
  Duration behind_age{};     // Highest age of a demanded position that the endpoint lacked.
  // Time for which reads avoid the endpoint because it is behind; grows while it stays behind.
  Duration behind_backoff{};
  uint64_t opened = 0;  // Connections opened so far.

 private:
  struct Waiter;
  struct IdleConnection {
    std::unique_ptr<EndpointChannel> connection;
    TimePoint since;
  };

  boost::asio::awaitable<EndpointLease> OpenConnection(EndpointLease lease, Duration limit);
  std::unique_ptr<EndpointChannel> TakeIdle(uint64_t session);
  void Leave(bool transaction, TimePoint since);
  void WakeGranted();
  uint32_t IdleTarget() const;
  void NoteLimitReached();
  void ApplyLimits();

  boost::asio::any_io_executor executor;
  const SessionCodec* codec;
  EndpointRecord current;
  StatementQueue admission;
  LoadShedder shedder;
  RandomEngine random;
  RelayRouter* relays;
  bool relayed = false;
  bool warming = false;
  uint32_t relayed_in_use = 0;
  std::vector<IdleConnection> idle;
  std::map<StatementQueue::Ticket, Waiter*> waiters;
  // Send time of the statement on each connection.
  std::map<EndpointChannel*, TimePoint> in_progress;
  TimePoint last_answer;
  TimePoint created;
  // When to open the next connection in advance; random at first, so that daemons started together
  // do not open theirs at once.
  TimePoint next_warm_up;
  // Whether the pool was created less than kStartupLimitTime ago and is therefore limited to one
  // connection; cleared by CloseIdle().
  bool startup_limited = true;
  StatementQueue::Ticket next_ticket = 1;
  uint32_t single_limit = 1;
  uint32_t share = 1;
  uint32_t borrowed = 0;
  uint32_t reduced_limit = 0;   // Concurrent statements allowed after an overload; 0: not reduced.
  TimePoint next_limit_raise;   // When `reduced_limit` is raised by one.
  uint32_t observed_limit = 0;  // Connections held when the endpoint refused one more; 0: unknown.
  TimePoint next_open;          // No connection is opened before this time, after a refusal at the
                                // connection limit.
  Duration open_pause{};        // Pause between a refusal and `next_open`.
  TimePoint observed_limit_until;  // Time until which `observed_limit` applies.
};

}  // namespace poplarmoor
