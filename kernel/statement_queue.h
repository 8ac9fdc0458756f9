#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "kernel/time.h"

namespace poplarmoor {

/// Decides which statements of one daemon may use an endpoint's connections now, which wait and
/// which are refused. The most urgent rank goes first; within a rank the order is that of arrival.
class StatementQueue {
 public:
  using Ticket = uint64_t;

  enum class Decision { kStart, kWait, kRefuse };

  /// @param single_limit Statements outside transactions that run at once.
  /// @param total_limit Connections that statements and transactions use at once.
  void SetLimits(uint32_t single_limit, uint32_t total_limit);

  /// A statement or transaction asks for a connection.
  /// @param ticket Unique number of the request.
  /// @param rank 0 is the most urgent.
  /// @param transaction Whether the connection is kept until the transaction ends.
  /// @param patience Time that the request can wait and still be served.
  /// @returns What to do; kRefuse when the predicted wait exceeds the patience.
  Decision Enter(Ticket ticket, int rank, bool transaction, Duration patience);

  /// Withdraws a waiting request.
  void Withdraw(Ticket ticket);

  /// A request has given its connection back.
  /// @param transaction As for Enter().
  /// @param held How long it had the connection.
  void Leave(bool transaction, Duration held);

  /// @returns The waiting request that may start now; it counts as started.
  std::optional<Ticket> Next();

  /// @param rank 0 is the most urgent.
  /// @returns Expected wait of a request of this rank.
  Duration PredictedWait(int rank) const;

  /// @returns Requests that have a connection or wait for one.
  uint32_t Busy() const;

  /// @returns Connections in use.
  uint32_t InUse() const { return this->singles + this->transactions; }

  uint32_t SingleLimit() const { return this->singles_allowed; }
  Duration ServiceTime() const { return this->smoothed_hold; }

 private:
  struct Waiter {
    Ticket ticket = 0;
    bool transaction = false;
  };

  bool MayStart(int rank, bool transaction) const;
  void Start(bool transaction);

  uint32_t singles_allowed = 1;
  uint32_t total_allowed = 1;
  uint32_t singles = 0;
  uint32_t transactions = 0;
  Duration smoothed_hold = 10ms;  // Of single statements; the first samples replace it soon.
  std::map<int, std::deque<Waiter>> waiting;  // By rank.
};

}  // namespace poplarmoor
