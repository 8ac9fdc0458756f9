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
  bool transaction = false;                        // The lease lasts until a transaction ends.
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
  /// @param session Session that will use the connection. An idle connection that this session was
  ///     the last to use is preferred.
  /// @returns A lease. When its connection is null, its `failure` says why.
  boost::asio::awaitable<EndpointLease> Acquire(int rank,
                                                bool transaction,
                                                Duration max_wait,
                                                const SessionState& session);

  /// Like Acquire(), but leases one of this daemon's own connections even when UsesRelay() is true.
  boost::asio::awaitable<EndpointLease> AcquireDirect(int rank,
                                                      bool transaction,
                                                      Duration max_wait,
                                                      const SessionState& session);

  /// Sets whether the sessions of this daemon reach the endpoint through gateways.
  void SetRelayed(bool relayed);
  bool is_relayed() const { return this->relayed; }

  /// @returns Whether statements are relayed through another daemon: always after SetRelayed(true),
  ///     as in a large fleet, and, if other daemons are known, while the endpoint is down, because
  ///     it may be unreachable from this daemon only.
  bool UsesRelay() const;

  /// Ends a lease. The connection is kept as an idle one when it is still open.
  void Release(EndpointLease lease);

  /// Sends one administrative order over an idle or a new connection, or through a gateway.
  /// @param term Term of a pause, resume or step-down order; 0 for a status order.
  /// @param limit Time limit of opening a connection, and again of sending the order.
  /// @param fresh Whether to open a new connection of this daemon for the administrative order.
  /// @throws EndpointSessionError when the connection fails, and std::runtime_error when the
  ///     endpoint refuses the connection or the order, or no gateway delivers its report.
  boost::asio::awaitable<EndpointReport> SendOrder(EndpointOrder order,
                                                   uint64_t term,
                                                   Duration limit,
                                                   bool fresh);

  /// Replaces the endpoint's registry record. Idle connections are closed when the endpoint has
  /// restarted or moved to another address.
  void Update(const EndpointRecord& record);

  /// Sets how many connections this daemon may use.
  /// @param single_statement_limit Largest number of statements outside transactions that run
  ///     concurrently.
  /// @param share Number of connections that each daemon can have while all daemons use theirs.
  /// @param borrowed Largest number of connections beyond the share; the endpoint may refuse them.
  void SetLimits(uint32_t single_statement_limit, uint32_t share, uint32_t borrowed);

  /// Sets the time of a statement, including its wait in the endpoint's queue, above which this
  /// daemon refuses less urgent statements.
  void SetStatementTimeLimit(Duration max_statement_time) {
    this->shedder.SetTimeLimit(max_statement_time);
  }

  /// Closes connections that have been idle for longer than `age`, except for those that are kept
  /// ready for later statements. Also raises limits again once their reduction has expired.
  void CloseIdle(Duration age);

  /// Starts to open one connection in advance if fewer are open than are kept ready, so that the
  /// first statements after a start do not all wait for a connection. To be called regularly.
  void WarmUp();

  /// Closes all connections; statements in progress fail.
  void CloseAll();

  /// Records that a statement was sent, for Silence().
  void OnSent(EndpointChannel* connection);

  /// Records that the statement on the connection was answered or has failed, for Silence().
  void OnAnswered(EndpointChannel* connection);

  /// Records that the endpoint refused a statement because its queue is full. For a while, this
  /// daemon runs fewer statements at the endpoint concurrently.
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
  /// @returns Number of this daemon's statements and transactions that run at the endpoint or wait
  ///     for a connection to it.
  uint32_t busy() const { return this->admission.Busy() + this->relayed_in_use; }
  const StatementQueue& queue() const { return this->admission; }

  bool down = false;  // No new connection to the endpoint can be opened.
  TimePoint next_down_probe;
  Duration down_interval{};  // Interval between probes while the endpoint is down.
  // The endpoint may be down, for example because a connection failed; a probe has to find out.
  bool suspected = false;
  bool probing = false;  // A probe over new connections is in progress.
  // Time until which other endpoints are preferred, because this one is overloaded or unreachable.
  TimePoint avoid_until;
  // Time until which reads that demand a log position up to `behind_age` old go to other endpoints.
  TimePoint behind_until;
  Duration behind_age{};  // Highest age of a demanded log position that the endpoint lacked.
  // Time for which reads avoid the endpoint after it lacked a demanded log position; grows while
  // the endpoint stays behind.
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
  bool warming = false;         // A connection is being opened in advance.
  uint32_t relayed_in_use = 0;  // Relayed statements and transactions in progress.
  std::vector<IdleConnection> idle;
  std::map<StatementQueue::Ticket, Waiter*> waiters;
  // Send time of the statement in progress on each connection.
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
  // No connection is opened before this time, because the endpoint refused one at its connection
  // limit.
  TimePoint next_open;
  Duration open_pause{};           // Pause between the last such refusal and `next_open`.
  TimePoint observed_limit_until;  // Time until which `observed_limit` applies.
};

}  // namespace poplarmoor
