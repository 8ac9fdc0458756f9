#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/reason.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Open transactions at one owner. Each is pinned to one connection.
class TransactionTable {
 public:
  /// One open transaction.
  struct Transaction {
    std::string id;  // Unique at the owner; net/ authenticates id and owner together.
    std::string endpoint;
    uint64_t connection = 0;  // Id in the endpoint's ConnectionPool.
    uint64_t term = 0;  // Term in which the transaction began; its statements carry this term.
    uint64_t next_sequence = 1;  // Sequence number that the next statement must have.
    bool busy = false;           // A statement is running.
    bool has_sequence = false;   // The running statement has a sequence number.
    TimePoint last_used;
    TimePoint started;
  };

  /// Result of Admit().
  struct Decision {
    const Transaction* transaction = nullptr;  // Null when the statement was refused.
    Reason reason = Reason::kNone;             // kTransactionGone or kOutOfSequence when refused.
  };

  /// @param idle_limit Longest time from the end of one statement of a transaction to the start of
  ///     the next one.
  /// @param age_limit Longest time from the beginning of a transaction to its commit.
  TransactionTable(Duration idle_limit, Duration age_limit);

  /// Adds a transaction that the endpoint has begun.
  /// @param endpoint Name of the endpoint.
  /// @param connection Id of the connection to which the transaction is pinned.
  /// @param term Term in which the transaction began.
  /// @param now Current time.
  /// @param random Uniformly distributed random bits, so that ids do not repeat after a restart.
  /// @returns Id of the transaction.
  std::string Begin(const std::string& endpoint,
                    uint64_t connection,
                    uint64_t term,
                    TimePoint now,
                    uint64_t random);

  /// Admits a statement. It counts as running until Finished() or End().
  /// @param id Id of the transaction.
  /// @param sequence Sequence number of the statement; 0 for commit and rollback, which carry none.
  /// @param now Current time.
  /// @returns The transaction, valid until the next call, or the reason of the refusal.
  Decision Admit(const std::string& id, uint64_t sequence, TimePoint now);

  /// Records the end of a statement; the transaction stays open.
  /// @param id Id of the transaction.
  /// @param sent False when the statement certainly did not run; the next statement must then have
  ///     the same sequence number.
  /// @param now Current time.
  void Finished(const std::string& id, bool sent, TimePoint now);

  /// Removes a transaction after commit, rollback or loss of its connection.
  /// @param id Id of the transaction; an unknown one is ignored.
  void End(const std::string& id);

  /// Removes transactions beyond their idle or age limit.
  /// @param now Current time.
  /// @returns The removed transactions. The owner closes their connections, so that the endpoint
  ///     rolls them back.
  std::vector<Transaction> Expire(TimePoint now);

  /// Removes all transactions of an endpoint, after it failed or was replaced as primary.
  /// @param endpoint Name of the endpoint.
  /// @returns The removed transactions.
  std::vector<Transaction> EndAll(const std::string& endpoint);

  /// @returns The number of open transactions.
  size_t size() const { return this->transactions.size(); }

 private:
  bool IsExpired(const Transaction& transaction, TimePoint now) const;

  template <typename Predicate>
  std::vector<Transaction> RemoveIf(Predicate predicate);

  Duration idle_limit;
  Duration age_limit;
  std::map<std::string, Transaction> transactions;
  uint64_t counter = 0;
};

}  // namespace poplarmoor
