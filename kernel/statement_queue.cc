#include "kernel/statement_queue.h"

#include <algorithm>

namespace poplarmoor {

namespace {

// The most urgent statements may exceed the limit by this number, so that they do not wait for a
// slower statement of the same daemon.
constexpr uint32_t kUrgentExtra = 1;
constexpr uint32_t kKeptForSingles = 1;  // Connections that transactions do not take.
constexpr int kSmoothing = 8;            // Weight of the history against one sample.

}  // namespace

void StatementQueue::SetLimits(uint32_t single_limit, uint32_t total_limit) {
  this->singles_allowed = std::max<uint32_t>(single_limit, 1);
  this->total_allowed = std::max(total_limit, this->singles_allowed);
}

bool StatementQueue::MayStart(int rank, bool transaction) const {
  if (this->singles + this->transactions >= this->total_allowed) {
    return false;
  }
  // A transaction mostly idles between statements, so that it takes no single statement's place.
  // One connection is kept for single statements, or callers that rest in transactions block all
  // others.
  if (transaction) {
    return this->transactions + kKeptForSingles <
           std::max(this->total_allowed, kKeptForSingles + 1);
  }
  return this->singles < this->singles_allowed + (rank == 0 ? kUrgentExtra : 0);
}

void StatementQueue::Start(bool transaction) {
  ++(transaction ? this->transactions : this->singles);
}

StatementQueue::Decision StatementQueue::Enter(Ticket ticket,
                                               int rank,
                                               bool transaction,
                                               Duration patience) {
  bool overtakes = true;
  for (const auto& [waiting_rank, queue] : this->waiting) {
    overtakes = overtakes && (waiting_rank > rank || queue.empty());
  }
  if (overtakes && this->MayStart(rank, transaction)) {
    this->Start(transaction);
    return Decision::kStart;
  }
  if (this->PredictedWait(rank) > patience) {
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
  --(transaction ? this->transactions : this->singles);
  if (!transaction) {
    this->smoothed_hold += (held - this->smoothed_hold) / kSmoothing;
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
  return this->smoothed_hold * ahead / this->singles_allowed;
}

uint32_t StatementQueue::Busy() const {
  size_t count = this->singles + this->transactions;
  for (const auto& [rank, queue] : this->waiting) {
    count += queue.size();
  }
  return static_cast<uint32_t>(count);
}

}  // namespace poplarmoor
