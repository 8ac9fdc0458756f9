#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/admission/load_shedder.h"
#include "kernel/admission/opening_limit.h"
#include "kernel/admission/statement_queue.h"
#include "kernel/endpoint_record.h"
#include "kernel/name_table.h"
#include "kernel/placement/idle_connections.h"
#include "kernel/session_state.h"
#include "session/endpoint_channel.h"
#include "session/session_codec.h"

namespace poplarmoor {

class EndpointSession;
class RelayRouter;

/// A connection leased to one statement or transaction.
struct EndpointLease {
  std::unique_ptr<EndpointChannel> connection;
  bool transaction = false;  // The lease is for a whole transaction, not for one statement.
  // Statements run over a connection of a gateway (another daemon that relays them), not over one
  // of this daemon.
  bool relayed = false;
  std::string organisation;                        // Organisation that the lease is for.
  TimePoint since;                                 // When the lease was granted.
  AcquireFailure failure = AcquireFailure::kNone;  // Why `connection` is null.
};

/// This daemon's connections to one endpoint, and the endpoint's state as this daemon observes it.
class EndpointPool : public std::enable_shared_from_this<EndpointPool> {
 public:
  EndpointPool(boost::asio::any_io_executor executor,
               const SessionCodec* codec,
               EndpointRecord record,
               RelayRouter* relays);
  ~EndpointPool();

  /// Leases a connection.
  /// @param rank Urgency of the statement; 0 is the most urgent.
  /// @param transaction Whether the lease is for a whole transaction, not for one statement.
  /// @param max_wait Longest time that the call may wait for a connection.
  /// @param session Session that will use the connection. Only connections that were opened with
  ///     the session's organisation are used; the one that the session was the last to use is
  ///     preferred. Work of the daemon itself (session 0, without organisation) uses any idle one.
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

  /// @returns Whether statements reach the endpoint through a gateway (another daemon that relays
  ///     them). This is so after SetRelayed(true), and also while the endpoint is down if other
  ///     daemons are known: the endpoint may be unreachable from this daemon only.
  bool UsesRelay() const;

  /// Ends a lease. If the leased connection is this daemon's own and still open, it becomes idle,
  /// but it is closed if the sessions of this daemon now reach the endpoint through gateways.
  void Release(EndpointLease lease);

  /// Sends one administrative order (a command such as "pause replication") to the endpoint, over
  /// an idle or a new connection or through a gateway.
  /// @param term Term of a pause, resume or step-down order; 0 for a status order.
  /// @param limit Time limit for opening a connection; the exchange of the order and its answer
  ///     then gets the same time again.
  /// @param fresh Whether this daemon opens a new connection for the order, even if it has an idle
  ///     one or normally uses gateways.
  /// @throws EndpointSessionError when the connection fails; std::runtime_error when the endpoint
  ///     refuses the connection or the order, or when no gateway delivers the endpoint's report.
  boost::asio::awaitable<EndpointReport> SendOrder(EndpointOrder order,
                                                   uint64_t term,
                                                   Duration limit,
                                                   bool fresh);

  /// Asks the endpoint for its state, over the idle connection that was opened first. Opens a
  /// connection only while this daemon has fewer than its share; otherwise waits for an idle one.
  /// Errors as in SendOrder().
  /// @param limit Time limit for obtaining a connection; the call itself then gets the same time
  ///     again.
  boost::asio::awaitable<EndpointReport> QueryStatus(Duration limit);

  /// Replaces the endpoint's registry record. If the new record shows that the endpoint has
  /// restarted or moved to another address, idle connections are closed.
  void Update(const EndpointRecord& record);

  /// Sets how many connections to the endpoint this daemon may use.
  /// @param single_statement_limit Largest number of statements outside transactions that this
  ///     daemon runs at the endpoint concurrently.
  /// @param share Number of connections that this daemon can open even if every other daemon has
  ///     opened the same number.
  /// @param borrowed Largest number of connections that this daemon may open in addition to
  ///     `share`; the endpoint may refuse them.
  void SetLimits(uint32_t single_statement_limit, uint32_t share, uint32_t borrowed);

  /// Sets whether the deployment has organisations. If it has, connections are divided among them,
  /// stay open while idle until another organisation needs their place, and are opened only when a
  /// statement needs one.
  void SetOrganisations(bool organisations);

  /// Sets the load limit: when statements at the endpoint take longer than `max_statement_time`,
  /// including their wait in the endpoint's queue, this daemon refuses less urgent statements.
  void SetStatementTimeLimit(Duration max_statement_time) {
    this->shedder.SetTimeLimit(max_statement_time);
  }

  /// Closes connections that have been idle for longer than `age`, except for those that are kept
  /// ready for later statements; with organisations, only those beyond the connection limit. Also
  /// raises the limits of concurrent statements and of connections again when the time is over for
  /// which they were reduced after this daemon's start or after a refusal by the endpoint.
  void CloseIdle(Duration age);

  /// Starts to open one connection in advance if this daemon has fewer connections than are to be
  /// kept ready. Otherwise the first statements after a start would all wait for a connection. To
  /// be called regularly.
  void WarmUp();

  /// Closes all connections; statements in progress fail.
  void CloseAll();

  /// Records that a statement was sent over the connection. From then on, Silence() includes the
  /// time for which the statement waits for its answer.
  void OnSent(EndpointChannel* connection);

  /// Records that the statement sent over the connection was answered or has failed, so that
  /// Silence() ignores the statement from then on.
  void OnAnswered(EndpointChannel* connection);

  /// Records that the endpoint refused a statement because its queue is full. For a while, this
  /// daemon runs fewer statements at the endpoint concurrently.
  void NoteOverload();

  /// Records that the endpoint refused a read because it lacked the log position that the read
  /// demanded.
  /// @param age Age of the demanded position: how long ago the primary's log ended there.
  void NoteBehind(Duration age);

  /// Records that the endpoint served a read and so held the log position that the read demanded.
  /// @param age Age of the demanded position: how long ago the primary's log ended there.
  void NoteCaughtUp(Duration age);

  /// @param age Age of the log position that a read demands: how long ago the primary's log ended
  ///     there.
  /// @returns Whether the endpoint is likely to hold that position.
  bool IsFreshEnough(Duration age) const;

  /// @returns Longest time that a statement in progress has waited since it was sent or, if later,
  ///     since the endpoint's last answer to this daemon; 0 when no statement is in progress.
  Duration Silence() const;

  /// @returns The executor of the I/O thread.
  const boost::asio::any_io_executor& io_executor() const { return this->executor; }

  const EndpointRecord& record() const { return this->current; }
  /// @returns Number of this daemon's statements and transactions that run at the endpoint or wait
  ///     for a connection to it.
  uint32_t busy() const { return this->admission.Busy() + this->relayed_in_use; }
  const StatementQueue& queue() const { return this->admission; }

  /// @returns Number of this daemon's connections, in use or idle, by organisation.
  std::map<std::string, size_t> ConnectionsByOrganisation() const;

  // The endpoint has no registry entry any more. It gets no statements, but takeovers compare its
  // log until MembersToForget() names it.
  bool departed = false;
  bool down = false;  // No new connection to the endpoint can be opened.
  TimePoint next_down_probe;
  Duration down_interval{};  // Interval between probes while the endpoint is down.
  // The endpoint has to be probed because it may be down: for example, a connection to it failed.
  bool suspected = false;
  bool probing = false;  // The endpoint is being probed over new connections.
  // Time until which other endpoints are preferred, because this one is overloaded or unreachable.
  TimePoint avoid_until;
  // Until this time, reads go to other endpoints if they demand a log position whose age is at most
  // `behind_age`.
  TimePoint behind_until;
  // Highest age of a log position that a read demanded and that the endpoint lacked. The age is the
  // time since the primary's log ended at the position.
  Duration behind_age{};
  // Time for which reads avoid the endpoint after it lacked a demanded log position; grows while
  // the endpoint stays behind.
  Duration behind_backoff{};
  std::optional<EndpointReport> last_report;  // Last answer to CommitVerifier.
  bool asking_status = false;                 // CommitVerifier waits for an answer.
  TimePoint next_status;                      // Earliest next status call of CommitVerifier.
  Duration status_pause{};  // Time between status calls of CommitVerifier to the endpoint.
  uint64_t opened = 0;  // Number of connections to the endpoint that this daemon has opened so far.
  // Number of idle connections that were closed so far because of the connection limit.
  uint64_t evicted = 0;

 private:
  struct Waiter;
  // Time limit for opening a connection. Opening takes two round trips and the endpoint's login
  // time. The limit does not allow for a lost packet, which would add a second.
  static constexpr Duration kOpenLimit = 600ms;

  using WaiterMap = std::map<StatementQueue::Ticket, Waiter*>;

  boost::asio::awaitable<EndpointLease> OpenConnection(EndpointLease lease, Duration limit);
  // Waits until the ticket's entry in `map` is granted or woken, or until `max_wait` has passed.
  // Returns whether it was granted.
  boost::asio::awaitable<bool> AwaitGrant(WaiterMap* map,
                                          StatementQueue::Ticket ticket,
                                          Duration max_wait);
  // Waits until a connection may be opened; returns whether it may be. If a connection of the
  // session's organisation becomes idle before, it is leased instead.
  boost::asio::awaitable<bool> AwaitOpening(EndpointLease* lease,
                                            StatementQueue::Ticket ticket,
                                            const SessionState& session,
                                            TimePoint deadline);
  void FinishOpening();
  std::unique_ptr<EndpointChannel> TakeIdle(const SessionState& session);
  // Takes the idle connection that was opened first, or returns null.
  std::unique_ptr<EndpointChannel> TakeFirstOpened();
  // Opens a connection outside any lease.
  boost::asio::awaitable<std::unique_ptr<EndpointChannel>> OpenForOrder(Duration limit);
  // Sends the order over the connection and keeps the connection if there is room for it.
  boost::asio::awaitable<EndpointReport> ExchangeOrder(std::unique_ptr<EndpointChannel> channel,
                                                       EndpointOrder order,
                                                       uint64_t term,
                                                       Duration limit);
  void PutIdle(std::unique_ptr<EndpointChannel> connection);
  // Closes idle connections while all connections exceed the limit.
  void CloseExcess();
  void Leave(const EndpointLease& lease);
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
  bool warming = false;          // A connection is being opened in advance.
  uint32_t relayed_in_use = 0;   // Statements and transactions in progress through gateways.
  bool by_organisation = false;  // The deployment has organisations.
  IdleConnections<std::unique_ptr<EndpointChannel>> idle;
  WaiterMap waiters;
  OpeningLimit openings;
  WaiterMap opening_waiters;  // Leases that wait until they may open a connection.
  // Send time of the statement in progress on each connection.
  std::map<EndpointChannel*, TimePoint> in_progress;
  TimePoint last_answer;
  TimePoint created;
  // Earliest time to open the next connection in advance; random at first, so that daemons that
  // start together do not open their connections at the same time.
  TimePoint next_warm_up;
  // Whether StartupConnectionLimit() applies because the pool was created less than
  // kStartupLimitTime ago. CloseIdle() sets the field to false after that time.
  bool startup_limited = true;
  StatementQueue::Ticket next_ticket = 1;
  uint32_t single_limit = 1;  // Limit of concurrent statements outside transactions.
  uint32_t share = 1;
  uint32_t borrowed = 0;
  // Reduced limit of concurrent statements outside transactions after the endpoint refused one
  // because its queue was full; 0: the limit is not reduced.
  uint32_t reduced_limit = 0;
  TimePoint next_limit_raise;  // When `reduced_limit` is raised by one.
  // Number of connections that this daemon had when the endpoint refused one more.
  uint32_t observed_limit = 0;
  // No connection is opened before this time, because the endpoint refused one at its connection
  // limit.
  TimePoint next_open;
  Duration open_pause{};  // Time from the last refusal at the connection limit to `next_open`.
  TimePoint observed_limit_until;  // Time until which `observed_limit` applies.
};

}  // namespace poplarmoor
