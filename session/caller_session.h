#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "session/caller_message.h"
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
                LimitService* limits = nullptr);

  /// @param organisation Name of the organisation that the session's operations belong to.
  void SetOrganisation(std::string organisation) {
    this->state.organisation = std::move(organisation);
  }

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

 private:
  boost::asio::awaitable<bool> Open();
  boost::asio::awaitable<std::optional<std::string>> ReadLine();
  boost::asio::awaitable<bool> Write(std::string text);
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
  // Rolls back the open transaction, if any. None of its statements may be running.
  void RollBack();
  TransactionState State() const;
  bool IsIdle() const;

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;  // Limits the wait for the caller's next message.
  Cluster* cluster;
  StatementRunner* runner;
  const SessionCodec* codec;
  LimitService* limits;
  SessionState state;
  std::string database;
  std::string buffer;
  std::optional<SessionTransaction> transaction;
  // Database route that was in force when the transaction began.
  std::optional<DatabaseRoute> transaction_route;
  bool opened = false;
  bool waiting = false;  // The session waits for the caller's next message.
  bool draining = false;
  bool ending_transactions = false;
  TimePoint answer_by = TimePoint::max();
};

}  // namespace poplarmoor
