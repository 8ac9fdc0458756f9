#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "kernel/route_table.h"
#include "kernel/session_state.h"
#include "session/access_control.h"
#include "session/commit_verifier.h"
#include "session/endpoint_pool.h"
#include "session/service_group.h"
#include "session/statement_answer.h"

namespace poplarmoor {

class Cluster;
class Metrics;
class SessionCodec;

/// A statement that a caller has sent and an endpoint is to run, and the record of the attempts to
/// run it.
struct StatementJob {
  std::string id;    // Statement id that the caller chose.
  std::string text;  // Text that is sent to the endpoint.
  bool writes = false;
  // The statement commits changes, so it succeeds only after a replica has acknowledged the commit.
  bool commits = false;
  std::optional<PreparedStatement> prepared;  // Prepared statement that `text` executes, if any.
  const DatabaseRoute* route = nullptr;
  TimePoint arrived;
  TimePoint deadline;

  /// @returns Time left until the deadline, at least 1 ms.
  Duration TimeLeft() const;

  // How the statement spent its time, for the log. The times are sums over all attempts.
  Duration queued{};  // Time spent waiting for connections and opening them.
  // Time from sending the session values, the prepared statement and the begin of the transaction
  // that precede the statement until the endpoint has answered them; 0 for relayed statements.
  Duration setup{};
  Duration running{};  // Time from sending the statement to its answer.
  int attempts = 0;    // Number of attempts on a leased connection, even if nothing was sent.
  int retries = 0;     // Number of failed attempts at the primary.
  // Why the statement may not run with its session's API key; empty: it may. Once set, the
  // statement is not sent any more.
  std::optional<AccessRefusal> refusal;
  // Text for the log. For each failed attempt it has the endpoint, the age of the demanded log
  // position (reads only), the time since the statement's arrival, and the cause.
  std::string attempt_log;
};

/// A caller's transaction at an endpoint.
struct SessionTransaction {
  bool read_only = false;
  bool wrote = false;
  // The transaction failed or lost its connection; it accepts only commit and rollback.
  bool finished = false;
  bool reported = false;  // The caller has been told that the transaction failed.
  std::shared_ptr<EndpointPool> pool;
  EndpointLease lease;  // Leased connection; empty until the first statement has run.
};

/// Runs statements at endpoints that it chooses. Retries failed reads; retries a failed write only
/// if it certainly has not run. Logs each statement that could not be served, with the cause.
class StatementRunner {
 public:
  /// @param cluster,codec,metrics Must outlive this object.
  StatementRunner(Cluster* cluster, const SessionCodec* codec, Metrics* metrics)
      : cluster(cluster), codec(codec), metrics(metrics), verifier(cluster) {}

  /// Runs a statement outside a transaction.
  /// @param job The statement.
  /// @param state State of the caller's session; an acknowledged write advances last_commit.
  /// @returns The endpoint's answer, or an error. HasNotRun() tells whether the error guarantees
  ///     that the statement has no effect.
  boost::asio::awaitable<StatementAnswer> Run(StatementJob job, SessionState* state);

  /// Runs a statement inside a transaction; the first statement opens the transaction at an
  /// endpoint.
  boost::asio::awaitable<StatementAnswer> RunInTransaction(StatementJob job,
                                                           SessionState* state,
                                                           SessionTransaction* transaction);

  /// Commits a transaction.
  boost::asio::awaitable<StatementAnswer> Commit(StatementJob job,
                                                 SessionState* state,
                                                 SessionTransaction* transaction);

  /// Ends a transaction without a commit; its connection is rolled back in the background.
  void Discard(SessionTransaction* transaction);

  /// Requests the primary's log position in the background if this daemon knows no position of the
  /// primary, or if the newest one that it knows is at least `max_age` old.
  void RefreshEvidence(ServiceGroup* group, Duration max_age);

 private:
  using Outcome = StatementAttempt::Outcome;

  // Runs the statement on the leased connection and records what the answer reveals about the
  // endpoint's state. `demanded` is the log position that the endpoint must hold; {0, 0}: none.
  boost::asio::awaitable<StatementAttempt> Send(StatementJob* job,
                                                Opening opening,
                                                LogPosition demanded,
                                                const SessionState& state,
                                                ServiceGroup* group,
                                                std::shared_ptr<EndpointPool> pool,
                                                EndpointLease* lease,
                                                Duration limit);

  boost::asio::awaitable<StatementAnswer> RunRead(StatementJob job, SessionState* state);
  boost::asio::awaitable<StatementAnswer> RunAtPrimary(StatementJob job, SessionState* state);
  boost::asio::awaitable<StatementAnswer> BeginAtPrimary(StatementJob job,
                                                         SessionState* state,
                                                         SessionTransaction* transaction);
  boost::asio::awaitable<StatementAnswer> BeginAtReplica(StatementJob job,
                                                         SessionState* state,
                                                         SessionTransaction* transaction);
  // Log position that an endpoint must hold to serve the read within the route's staleness bound,
  // or nothing when no recent position of the primary is known.
  std::optional<FreshnessEvidence> EvidenceToDemand(const StatementJob& job,
                                                    const SessionState& state,
                                                    ServiceGroup* group);
  // A connection to the primary or, when none was available before the deadline, the cause.
  struct PrimaryLease {
    std::shared_ptr<EndpointPool> pool;
    EndpointLease lease;
    std::string cause;
  };

  // Waits for a primary and for a connection to it.
  // @param last_cause Why the previous attempt to run the statement failed; becomes part of the
  //     returned cause when no primary is expected before the deadline.
  boost::asio::awaitable<PrimaryLease> LeasePrimary(StatementJob* job,
                                                    ServiceGroup* group,
                                                    bool transaction,
                                                    const SessionState& state,
                                                    std::string last_cause);

  // Records a failed attempt at the primary and pauses before the next attempt. If the endpoint
  // refused the statement because it is not the primary, does not pause but records that the
  // primary is unknown.
  boost::asio::awaitable<void> HandlePrimaryFailure(StatementJob* job,
                                                    ServiceGroup* group,
                                                    std::shared_ptr<EndpointPool> pool,
                                                    std::optional<StatementError> error,
                                                    std::string cause);

  // Time from sending a read until it is repeated at another endpoint if it is still unanswered.
  static Duration ReadTimeout(const StatementJob& job, const EndpointPool& pool);

  void NoteRefusal(EndpointPool* pool, StatementError error);
  void NoteCommit(SessionState* state, const StatementAnswer& answer);
  // Waits until writes can be expected to be confirmed, or for the deadline if that is too late.
  // @returns Whether the write may be sent.
  boost::asio::awaitable<bool> MayCommit(const StatementJob& job, ServiceGroup* group);
  // Waits until no takeover can lose the commit that the primary has acknowledged.
  // @returns Whether it may be acknowledged to the caller; otherwise it is in doubt.
  boost::asio::awaitable<bool> IsSafe(const StatementJob& job,
                                      ServiceGroup* group,
                                      std::shared_ptr<EndpointPool> pool,
                                      const StatementAnswer& answer);
  StatementAnswer Fail(const StatementJob& job,
                       StatementError error,
                       std::string_view cause,
                       const EndpointPool* pool);
  // Adds a failed attempt to the job's attempt log. The attempt log is written to the daemon's log
  // if the statement exceeds the latency objective of its route or is not served.
  void NoteAttempt(StatementJob* job,
                   const EndpointPool& pool,
                   std::optional<Duration> evidence_age,
                   std::string_view cause);
  void CountAnswer(const StatementJob& job, std::optional<StatementError> error);
  void NoteServed(const StatementJob& job, const EndpointPool& pool);
  boost::asio::awaitable<EndpointLease> Acquire(StatementJob* job,
                                                std::shared_ptr<EndpointPool> pool,
                                                bool transaction,
                                                const SessionState& state);
  // Checks the session's API key. A refusal is recorded in the job.
  // @returns Whether the statement may be sent.
  bool MayRun(StatementJob* job, const SessionState& state);

  // Waits for a connection or for a primary. If the session has an API key, the wait ends when the
  // configuration withdraws the key.
  boost::asio::awaitable<EndpointLease> AwaitLease(std::shared_ptr<EndpointPool> pool,
                                                   const StatementJob& job,
                                                   bool transaction,
                                                   const SessionState& state);
  boost::asio::awaitable<std::shared_ptr<EndpointPool>> AwaitPrimary(ServiceGroup* group,
                                                                     Duration limit,
                                                                     const SessionState& state);
  // Whether waits of the session must end when its API key is withdrawn.
  bool DependsOnKey(const SessionState& state) const;

  void RollBackAndRelease(std::shared_ptr<EndpointPool> pool, EndpointLease lease);

  // First pause after an endpoint refused a statement because its queue is full: about the time
  // that one statement takes. During the pause, other endpoints are preferred.
  static constexpr Duration kMinOverloadPause = 20ms;
  // The pause before each further retry is twice as long, up to this value, so that repeated
  // refusals do not load the endpoint.
  static constexpr Duration kMaxOverloadPause = 160ms;
  static constexpr int kMaxPauseDoublings = 3;

  // Cause of the error that reports a commit as in doubt although the primary has acknowledged it.
  static constexpr char kNoCommits[] = "the replicas do not receive the primary's commits";
  static constexpr char kUnconfirmedCommit[] = "a takeover may lose the acknowledged commit";

  // @returns Whether a gateway (a daemon that relays statements) refused the statement to keep
  //     capacity for more urgent ones.
  static bool WasShed(const StatementAttempt& attempt);

  // Pause before a refused statement is retried.
  static Duration RetryPause(int retries);

  Cluster* cluster;
  const SessionCodec* codec;
  Metrics* metrics;
  CommitVerifier verifier;
};

}  // namespace poplarmoor
