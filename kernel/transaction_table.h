#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/reason.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Open transactions of one owner. Each is pinned to one connection.
class TransactionTable {
 public:
  /// One open transaction.
  struct Transaction {
    std::string id;  // Local to the owner; net/ authenticates it together with the owner.
    std::string endpoint;
    uint64_t connection = 0;     // Id in the endpoint's ConnectionPool.
    uint64_t term = 0;           // In which it began; its statements are sent with this term.
    uint64_t next_sequence = 1;  // Of the next statement.
    bool busy = false;           // A statement is under way.
    bool counted = false;        // That statement took a sequence number.
    TimePoint last_used;
    TimePoint started;
  };

  /// Whether a statement may run.
  struct Decision {
    const Transaction* transaction = nullptr;  // Null when it was refused.
    Reason reason = Reason::kNone;             // kTransactionGone or kOutOfSequence when refused.
  };

  /// @param idle_limit Longest time between two statements.
  /// @param age_limit Longest time from begin to commit.
  TransactionTable(Duration idle_limit, Duration age_limit);

  /// Records a transaction that the endpoint began.
  /// @param endpoint Name of the endpoint.
  /// @param connection Connection that it is pinned to.
  /// @param term Term in which it began.
  /// @param now Current time.
  /// @param random Uniformly distributed random bits, so that ids do not repeat after a restart.
  /// @returns Its id.
  std::string Begin(const std::string& endpoint,
                    uint64_t connection,
                    uint64_t term,
                    TimePoint now,
                    uint64_t random);

  /// Admits a statement. It is under way until Finished() or End().
  /// @param id Id of the transaction.
  /// @param sequence Sequence number of the statement; 0 for commit and rollback, which carry none.
  /// @param now Current time.
  /// @returns The transaction, valid until the next call, or the reason of the refusal.
  Decision Admit(const std::string& id, uint64_t sequence, TimePoint now);

  /// Ends a statement; the transaction stays open.
  /// @param id Id of the transaction.
  /// @param sent False when the statement provably did not run: the sequence number stays usable.
  /// @param now Current time.
  void Finished(const std::string& id, bool sent, TimePoint now);

  /// Forgets a transaction after commit, rollback or loss of its connection.
  /// @param id Id of the transaction; an unknown one is ignored.
  void End(const std::string& id);

  /// Removes transactions beyond their idle or age limit.
  /// @param now Current time.
  /// @returns The removed ones; the owner closes their connections, so the endpoint rolls back.
  std::vector<Transaction> Expire(TimePoint now);

  /// Removes all transactions of an endpoint, after it failed or was replaced as primary.
  /// @param endpoint Name of the endpoint.
  /// @returns The removed ones.
  std::vector<Transaction> EndAll(const std::string& endpoint);

  /// @returns The number of open transactions.
  size_t size() const { return this->transactions.size(); }

 private:
  bool IsOver(const Transaction& transaction, TimePoint now) const;

  template <typename Predicate>
  std::vector<Transaction> RemoveIf(Predicate predicate);

  Duration idle_limit;
  Duration age_limit;
  std::map<std::string, Transaction> transactions;
  uint64_t counter = 0;
};

}  // namespace poplarmoor
