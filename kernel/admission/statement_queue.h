#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "kernel/admission/site_queues.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Queue for one daemon's connections to one endpoint. Each request asks for a connection, for a
/// transaction or for a single statement (a statement outside transactions), and starts, waits or
/// is refused. More urgent ranks are served first; within a rank, requests are served in the order
/// of arrival. With SetFair(true), the requests of a rank are divided among the organisations by
/// round robin, less urgent ranks have a guaranteed minimum, and an organisation that holds half of
/// the connections starts no transaction, and single statements only after those of the others.
class StatementQueue {
 public:
  using Ticket = uint64_t;

  enum class Decision { kStart, kWait, kRefuse };

  /// @param single_limit Maximum number of single statements that run at the same time.
  /// @param total_limit Maximum number of connections in use, by single statements and transactions
  ///     together.
  void SetLimits(uint32_t single_limit, uint32_t total_limit);

  /// Sets whether connections are divided among organisations. Without it, the organisations of the
  /// requests are ignored. Waiting requests keep their place.
  void SetFair(bool fair) { this->fair = fair; }

  /// Requests a connection for a single statement or a transaction.
  /// @param ticket Unique number of the request.
  /// @param rank Priority of the request; 0 is the most urgent.
  /// @param transaction Whether the request is for a transaction, which keeps the connection until
  ///     the transaction ends; otherwise it is for a single statement.
  /// @param max_wait Longest time that the request can wait and still be served in time.
  /// @param organisation Organisation that makes the request; empty: none.
  /// @returns Whether the request starts, waits or is refused. It is refused when it would
  ///     have to wait and the predicted wait exceeds max_wait.
  Decision Enter(Ticket ticket,
                 int rank,
                 bool transaction,
                 Duration max_wait,
                 const std::string& organisation = {});

  /// Removes a waiting request. Other requests may be able to start then.
  void Withdraw(Ticket ticket);

  /// Records that a request has given its connection back.
  /// @param transaction Whether the request was for a transaction, as passed to Enter().
  /// @param held Time for which the request had the connection.
  /// @param organisation Organisation that made the request, as passed to Enter().
  void Leave(bool transaction, Duration held, const std::string& organisation = {});

  /// Starts the next waiting request that may start now. To be called after SetLimits(), Leave()
  /// and, with SetFair(true), Withdraw(), until it returns nothing.
  /// @returns The ticket of the request, or nothing when none may start.
  std::optional<Ticket> Next();

  /// @param rank Priority of a request; 0 is the most urgent.
  /// @param transaction Whether the request is for a transaction.
  /// @param organisation Organisation that makes the request; empty: none.
  /// @returns Expected time until a new request of this rank gets a connection if it has to wait.
  Duration PredictedWait(int rank,
                         bool transaction = false,
                         const std::string& organisation = {}) const;

  /// @returns The number of requests that have a connection or wait for one.
  uint32_t Busy() const;

  /// @returns The number of connections in use.
  uint32_t InUse() const { return this->single_statements + this->transactions; }

  /// @returns Largest number of connections in use.
  uint32_t TotalLimit() const { return this->max_in_use; }

  /// @returns Number of waiting requests by organisation, for those that have any.
  std::map<std::string, size_t> WaitingByOrganisation() const;

  /// @returns Number of connections in use by organisation, for those that have any.
  const std::map<std::string, uint32_t>& HeldByOrganisation() const { return this->held; }

  uint32_t SingleLimit() const { return this->max_single_statements; }
  Duration SmoothedStatementTime() const { return this->smoothed_statement_time; }

 private:
  struct Waiter {
    Ticket ticket = 0;
    bool transaction = false;
    std::string organisation;
  };
  using Queues = SiteQueues<Waiter>;

  struct RankQueue {
    Queues queues;
    // Starts that the guaranteed minimum entitles the rank to and that it has not used yet.
    double credit = 0.0;
  };

  struct Place {
    int rank = 0;
    Queues::Handle handle;
  };

  bool HasFreeConnection(int rank, bool transaction) const;
  bool IsAtOrganisationLimit(const std::string& organisation) const;
  bool GoesFirst(int rank) const;
  uint32_t OrganisationLimit() const;
  uint32_t HeldBy(const std::string& organisation) const;
  void Start(int rank, const Waiter& request);
  std::optional<Ticket> StartFrom(int rank, RankQueue* queue, bool over_limit);
  // Key of the queue of a request.
  const std::string& SiteOf(const std::string& organisation) const;

  bool fair = false;
  uint32_t max_single_statements = 1;
  uint32_t max_in_use = 1;
  uint32_t single_statements = 0;
  uint32_t transactions = 0;
  std::map<std::string, uint32_t> held;  // Connections in use by organisation.
  // Smoothed time for which a single statement has its connection. The initial value is an
  // estimate, which matters only until the first statements have finished.
  Duration smoothed_statement_time = 10ms;
  // Smoothed time for which a transaction has its connection; the initial value is an estimate.
  Duration smoothed_transaction_time = 200ms;
  std::map<int, RankQueue> waiting;  // Waiting requests by rank.
  std::unordered_map<Ticket, Place> places;
};

}  // namespace poplarmoor
