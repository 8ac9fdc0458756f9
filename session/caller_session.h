#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "session/caller_message.h"
#include "session/caller_stream.h"
#include "session/organisation/admission.h"
#include "session/statement_runner.h"

namespace poplarmoor {

class LimitService;

/// One caller's session: a connection with session values, prepared statements and at most one open
/// transaction.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  /// @param number Number of the session, unique within this process.
  /// @param cluster,runner,codec Must outlive this object.
  /// @param limits Limits the operations of the session's organisation; null: nothing does.
  CallerSession(boost::asio::ip::tcp::socket socket,
                uint64_t number,
                Cluster* cluster,
                StatementRunner* runner,
                const SessionCodec* codec,
                std::shared_ptr<CallerLimits> limits,
                LimitService* limit_service = nullptr);

  /// Answers the caller's messages until the caller or Drain() ends the session, or until the
  /// connection fails.
  boost::asio::awaitable<void> Serve();

  /// Closes the session as soon as every request of the caller has been answered and no transaction
  /// is open.
  /// @param answer_by Time by which later requests are answered, even if their time limit is
  /// longer.
  void Drain(TimePoint answer_by);

  /// Rolls back the session's transaction, now or, if one of its statements is running, after the
  /// answer to this statement. The same holds for transactions that the caller begins later. The
  /// caller's next statement or commit gets an error.
  void EndTransactions();

  /// Rolls back the session's transaction like EndTransactions() if the configuration in force has
  /// withdrawn the session's API key. The caller's next statement is refused, and the session ends.
  void EndWithdrawnTransaction();

  /// Closes the connection if the caller has not sent its opening message yet.
  /// @returns Whether the connection is closed for this reason now.
  bool CloseUnopened();

 private:
  boost::asio::awaitable<bool> Open();
  boost::asio::awaitable<std::optional<std::string>> ReadLine();
  boost::asio::awaitable<bool> Write(std::string text);
  // Refuses a message that exceeds a limit.
  boost::asio::awaitable<void> RefuseMessage(CloseReason limit);
  boost::asio::awaitable<StatementAnswer> Answer(CallerMessage message);
  boost::asio::awaitable<StatementAnswer> AnswerStatement(CallerMessage message,
                                                          const DatabaseRoute& route);
  boost::asio::awaitable<StatementAnswer> AnswerTransactionEnd(CallerMessage message,
                                                               const DatabaseRoute& route);
  // Whether the statement that is about to run is the first one of an operation that has a limit.
  bool NeedsToken() const;
  // The answer to an operation that got no token. A transaction has failed then.
  StatementAnswer RefuseOperation(const Admission& admission);
  // Returns the token of an operation that has not run.
  void ReturnToken(const Admission& admission, const StatementAnswer& answer);
  StatementAnswer AnswerSetting(CallerMessage message);
  // Checks whether operations on a database may start: the configuration has its route, and the
  // copy of the configuration is not too old for the answer.
  // @param subject What would be refused: "session" or "statement".
  // @returns Why they may not, or nothing.
  std::optional<StatementError> CheckRoute(const std::string& name, std::string_view subject) const;
  // Sets the session's key and organisation from its opening message.
  // @returns The answer that refuses the session because of its key, or nothing.
  std::optional<std::string> RefuseOpening(const CallerMessage& message);
  // @returns The answer to a message if the configuration has withdrawn the session's key.
  std::optional<StatementAnswer> RefuseWithdrawnKey(const CallerMessage& message);

  // Reserves memory for the change of the session's state that the message asks for. Returns why
  // the change is refused, if it is.
  std::optional<StatementAnswer> ReserveState(const CallerMessage& message);
  // Rolls back the open transaction, if any. None of its statements may be running.
  void RollBack();
  TransactionState State() const;
  bool IsIdle() const;

  CallerStream stream;
  boost::asio::steady_timer timer;  // Limits the wait for the caller's next message.
  Cluster* cluster;
  StatementRunner* runner;
  const SessionCodec* codec;
  LimitService* limit_service;  // Limits the operations of organisations; null: no limits.
  SessionState state;
  KeyId presented_key = 0;  // Fingerprint of the key in the opening message; 0: none.
  std::string database;
  std::shared_ptr<CallerLimits> limits;
  BufferShare state_share;
  size_t state_size = 0;  // Size in bytes of the values and prepared statements in `state`.
  std::optional<SessionTransaction> transaction;
  // Database route that was in force when the transaction began.
  std::optional<DatabaseRoute> transaction_route;
  bool opened = false;
  bool waiting = false;  // The session waits for the caller's next message.
  bool draining = false;
  bool abandoned = false;  // CloseUnopened() has closed the connection.
  bool ending_transactions = false;
  TimePoint answer_by = TimePoint::max();
};

}  // namespace poplarmoor
