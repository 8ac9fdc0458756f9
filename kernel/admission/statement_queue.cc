#include "kernel/admission/statement_queue.h"

#include <algorithm>

namespace poplarmoor {

namespace {

// Number by which rank 0 statements outside transactions may exceed the limit of simultaneous
// statements outside transactions, so that they do not wait for a slower statement of this daemon.
constexpr uint32_t kUrgentExtraStatements = 1;
// Number of connections that transactions may not use; they stay free for statements outside
// transactions.
constexpr uint32_t kConnectionsForSingleStatements = 1;
// Inverse of the weight of a new sample in the smoothed statement time.
constexpr int kSmoothing = 8;

}  // namespace

void StatementQueue::SetLimits(uint32_t single_limit, uint32_t total_limit) {
  this->max_single_statements = std::max<uint32_t>(single_limit, 1);
  this->max_in_use = std::max(total_limit, this->max_single_statements);
}

bool StatementQueue::MayStart(int rank, bool transaction) const {
  if (this->single_statements + this->transactions >= this->max_in_use) {
    return false;
  }
  // A transaction is mostly idle between statements, so it does not count against the limit of
  // single statements (statements outside transactions). One connection is reserved for single
  // statements; otherwise callers with idle transactions would block all others.
  if (transaction) {
    return this->transactions + kConnectionsForSingleStatements <
           std::max(this->max_in_use, kConnectionsForSingleStatements + 1);
  }
  return this->single_statements <
         this->max_single_statements + (rank == 0 ? kUrgentExtraStatements : 0);
}

void StatementQueue::Start(bool transaction) {
  ++(transaction ? this->transactions : this->single_statements);
}

StatementQueue::Decision StatementQueue::Enter(Ticket ticket,
                                               int rank,
                                               bool transaction,
                                               Duration max_wait) {
  bool is_first = true;
  for (const auto& [waiting_rank, queue] : this->waiting) {
    is_first = is_first && (waiting_rank > rank || queue.empty());
  }
  if (is_first && this->MayStart(rank, transaction)) {
    this->Start(transaction);
    return Decision::kStart;
  }
  if (this->PredictedWait(rank) > max_wait) {
    return Decision::kRefuse;
  }
  this->waiting[rank].push_back({ticket, transaction});
  return Decision::kWait;
}

void StatementQueue::Withdraw(Ticket ticket) {
  for (auto& [rank, queue] : this->waiting) {
    std::erase_if(queue, [ticket](const Waiter& waiter) { return waiter.ticket == ticket; });
  }
}

void StatementQueue::Leave(bool transaction, Duration held) {
  --(transaction ? this->transactions : this->single_statements);
  if (!transaction) {
    this->smoothed_statement_time += (held - this->smoothed_statement_time) / kSmoothing;
  }
}

std::optional<StatementQueue::Ticket> StatementQueue::Next() {
  for (auto& [rank, queue] : this->waiting) {
    for (auto waiter = queue.begin(); waiter != queue.end(); ++waiter) {
      if (this->MayStart(rank, waiter->transaction)) {
        const Ticket ticket = waiter->ticket;
        this->Start(waiter->transaction);
        queue.erase(waiter);
        return ticket;
      }
    }
  }
  return std::nullopt;
}

Duration StatementQueue::PredictedWait(int rank) const {
  size_t ahead = 1;
  for (const auto& [waiting_rank, queue] : this->waiting) {
    ahead += waiting_rank <= rank ? queue.size() : 0;
  }
  return this->smoothed_statement_time * ahead / this->max_single_statements;
}

uint32_t StatementQueue::Busy() const {
  size_t count = this->single_statements + this->transactions;
  for (const auto& [rank, queue] : this->waiting) {
    count += queue.size();
  }
  return static_cast<uint32_t>(count);
}

}  // namespace poplarmoor
