#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "kernel/time.h"

namespace poplarmoor {

/// Queue for one daemon's connections to one endpoint. Each request asks for a connection, for a
/// transaction or for a single statement (a statement outside transactions), and starts, waits or
/// is refused. More urgent ranks are served first; within a rank, requests are served in the order
/// of arrival.
class StatementQueue {
 public:
  using Ticket = uint64_t;

  enum class Decision { kStart, kWait, kRefuse };

  /// @param single_limit Maximum number of single statements that run at the same time.
  /// @param total_limit Maximum number of connections in use, by single statements and transactions
  ///     together.
  void SetLimits(uint32_t single_limit, uint32_t total_limit);

  /// Requests a connection for a single statement or a transaction.
  /// @param ticket Unique number of the request.
  /// @param rank Priority of the request; 0 is the most urgent.
  /// @param transaction Whether the request is for a transaction, which keeps the connection until
  ///     the transaction ends; otherwise it is for a single statement.
  /// @param max_wait Longest time that the request can wait and still be served in time.
  /// @returns Whether the request starts, waits or is refused. It is refused when it would
  ///     have to wait and the predicted wait exceeds max_wait.
  Decision Enter(Ticket ticket, int rank, bool transaction, Duration max_wait);

  /// Removes a waiting request.
  void Withdraw(Ticket ticket);

  /// Records that a request has given its connection back.
  /// @param transaction Whether the request was for a transaction, as passed to Enter().
  /// @param held Time for which the request had the connection.
  void Leave(bool transaction, Duration held);

  /// Starts the next waiting request that may start now.
  /// @returns The ticket of the request, or nothing when none may start.
  std::optional<Ticket> Next();

  /// @param rank Priority of a request; 0 is the most urgent.
  /// @returns Expected time until a new request of this rank gets a connection if it has to wait.
  Duration PredictedWait(int rank) const;

  /// @returns The number of requests that have a connection or wait for one.
  uint32_t Busy() const;

  /// @returns The number of connections in use.
  uint32_t InUse() const { return this->single_statements + this->transactions; }

  uint32_t SingleLimit() const { return this->max_single_statements; }
  Duration SmoothedStatementTime() const { return this->smoothed_statement_time; }

 private:
  struct Waiter {
    Ticket ticket = 0;
    bool transaction = false;
  };

  bool MayStart(int rank, bool transaction) const;
  void Start(bool transaction);

  uint32_t max_single_statements = 1;
  uint32_t max_in_use = 1;
  uint32_t single_statements = 0;
  uint32_t transactions = 0;
  // Smoothed time for which a single statement has its connection. The initial value is an
  // estimate, which matters only until the first statements have finished.
  Duration smoothed_statement_time = 10ms;
  std::map<int, std::deque<Waiter>> waiting;  // Waiting requests by rank.
};

}  // namespace poplarmoor
