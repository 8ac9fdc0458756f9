#include "kernel/transaction_table.h"

#include <utility>

#include "kernel/trace_id.h"

namespace poplarmoor {

TransactionTable::TransactionTable(Duration idle_limit, Duration age_limit)
    : idle_limit(idle_limit), age_limit(age_limit) {}

std::string TransactionTable::Begin(const std::string& endpoint,
                                    uint64_t connection,
                                    uint64_t term,
                                    TimePoint now,
                                    uint64_t random) {
  Transaction transaction;
  transaction.id = FormatHex64(random) + "-" + std::to_string(++this->counter);
  transaction.endpoint = endpoint;
  transaction.connection = connection;
  transaction.term = term;
  transaction.last_used = now;
  transaction.started = now;
  std::string id = transaction.id;
  this->transactions.emplace(id, std::move(transaction));
  return id;
}

TransactionTable::Decision TransactionTable::Admit(const std::string& id,
                                                   uint64_t sequence,
                                                   TimePoint now) {
  const auto found = this->transactions.find(id);
  if (found == this->transactions.end() || this->IsExpired(found->second, now)) {
    return {nullptr, Reason::kTransactionGone};
  }
  Transaction& transaction = found->second;
  if (transaction.busy || (sequence != 0 && sequence != transaction.next_sequence)) {
    return {nullptr, Reason::kOutOfSequence};
  }
  transaction.busy = true;
  transaction.has_sequence = sequence != 0;
  transaction.last_used = now;
  if (transaction.has_sequence) {
    ++transaction.next_sequence;
  }
  return {&transaction, Reason::kNone};
}

void TransactionTable::Finished(const std::string& id, bool sent, TimePoint now) {
  const auto found = this->transactions.find(id);
  if (found == this->transactions.end()) {
    return;
  }
  Transaction& transaction = found->second;
  if (transaction.busy && transaction.has_sequence && !sent) {
    --transaction.next_sequence;
  }
  transaction.busy = false;
  transaction.last_used = now;
}

void TransactionTable::End(const std::string& id) {
  this->transactions.erase(id);
}

std::vector<TransactionTable::Transaction> TransactionTable::Expire(TimePoint now) {
  return this->RemoveIf([&](const Transaction& each) { return this->IsExpired(each, now); });
}

std::vector<TransactionTable::Transaction> TransactionTable::EndAll(const std::string& endpoint) {
  return this->RemoveIf([&](const Transaction& each) { return each.endpoint == endpoint; });
}

bool TransactionTable::IsExpired(const Transaction& transaction, TimePoint now) const {
  // A transaction with a running statement is not idle, but it still expires at age_limit.
  const bool idle = !transaction.busy && transaction.last_used + this->idle_limit <= now;
  return idle || transaction.started + this->age_limit <= now;
}

template <typename Predicate>
std::vector<TransactionTable::Transaction> TransactionTable::RemoveIf(Predicate predicate) {
  std::vector<Transaction> removed;
  for (auto each = this->transactions.begin(); each != this->transactions.end();) {
    if (predicate(each->second)) {
      removed.push_back(std::move(each->second));
      each = this->transactions.erase(each);
    } else {
      ++each;
    }
  }
  return removed;
}

}  // namespace poplarmoor
