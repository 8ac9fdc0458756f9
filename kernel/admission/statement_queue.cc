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
// Share of the starts that each less urgent rank with waiting requests gets when connections are
// divided among organisations. It is small because the most urgent rank has the shortest objective.
constexpr double kRankFloor = 0.1;

}  // namespace

void StatementQueue::SetLimits(uint32_t single_limit, uint32_t total_limit) {
  this->max_single_statements = std::max<uint32_t>(single_limit, 1);
  this->max_in_use = std::max(total_limit, this->max_single_statements);
}

bool StatementQueue::HasFreeConnection(int rank, bool transaction) const {
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

bool StatementQueue::IsAtOrganisationLimit(const std::string& organisation) const {
  return this->fair && this->HeldBy(organisation) >= this->OrganisationLimit();
}

uint32_t StatementQueue::OrganisationLimit() const {
  return std::max<uint32_t>(this->max_in_use / 2, 1);
}

uint32_t StatementQueue::HeldBy(const std::string& organisation) const {
  const auto found = this->held.find(organisation);
  return found == this->held.end() ? 0 : found->second;
}

const std::string& StatementQueue::SiteOf(const std::string& organisation) const {
  static const std::string all;
  return this->fair ? organisation : all;
}

bool StatementQueue::GoesFirst(int rank) const {
  // With organisations, all waiting requests are at a limit: those that could start have been
  // started by Next(). They must not delay requests that are at none.
  return this->fair ||
         std::all_of(this->waiting.begin(), this->waiting.end(), [rank](const auto& entry) {
           return entry.first > rank || entry.second.queues.empty();
         });
}

void StatementQueue::Start(int rank, const Waiter& request) {
  ++(request.transaction ? this->transactions : this->single_statements);
  ++this->held[request.organisation];
  for (auto& [waiting_rank, queue] : this->waiting) {
    // Credit lapses when no request waits, so that later ones do not go ahead because of it.
    const bool earns = waiting_rank > rank && !queue.queues.empty();
    const double credit = queue.credit + (earns ? kRankFloor : 0.0);
    queue.credit = queue.queues.empty() ? 0.0 : std::min(credit, 1.0);
  }
}

StatementQueue::Decision StatementQueue::Enter(Ticket ticket,
                                               int rank,
                                               bool transaction,
                                               Duration max_wait,
                                               const std::string& organisation) {
  Waiter request{ticket, transaction, organisation};
  // A transaction keeps its connection until the caller ends it, so that the connection could not
  // be given to another organisation that asks for one later. Its limit therefore applies even if
  // no other organisation waits.
  const bool over_limit = transaction && this->IsAtOrganisationLimit(organisation);
  if (!over_limit && this->GoesFirst(rank) && this->HasFreeConnection(rank, transaction)) {
    this->Start(rank, request);
    return Decision::kStart;
  }
  if (this->PredictedWait(rank, transaction, organisation) > max_wait) {
    return Decision::kRefuse;
  }
  const Queues::Handle handle =
      this->waiting[rank].queues.Push(request, this->SiteOf(organisation), 1.0);
  this->places[ticket] = {rank, handle};
  return Decision::kWait;
}

void StatementQueue::Withdraw(Ticket ticket) {
  const auto found = this->places.find(ticket);
  if (found != this->places.end()) {
    this->waiting.at(found->second.rank).queues.Erase(found->second.handle);
    this->places.erase(found);
  }
}

void StatementQueue::Leave(bool transaction, Duration held, const std::string& organisation) {
  --(transaction ? this->transactions : this->single_statements);
  const auto holder = this->held.find(organisation);
  if (holder != this->held.end() && --holder->second == 0) {
    this->held.erase(holder);
  }
  Duration& smoothed =
      transaction ? this->smoothed_transaction_time : this->smoothed_statement_time;
  smoothed += (held - smoothed) / kSmoothing;
}

std::optional<StatementQueue::Ticket> StatementQueue::StartFrom(int rank,
                                                                RankQueue* queue,
                                                                bool over_limit) {
  const auto request = queue->queues.TakeIf([this, rank, over_limit](const Waiter& waiter) {
    const bool allowed =
        (over_limit && !waiter.transaction) || !this->IsAtOrganisationLimit(waiter.organisation);
    return allowed && this->HasFreeConnection(rank, waiter.transaction);
  });
  if (!request) {
    return std::nullopt;
  }
  this->places.erase(request->ticket);
  this->Start(rank, *request);
  return request->ticket;
}

std::optional<StatementQueue::Ticket> StatementQueue::Next() {
  for (auto& [rank, queue] : this->waiting) {
    if (!this->fair || queue.credit < 1.0) {
      continue;
    }
    if (const auto ticket = this->StartFrom(rank, &queue, false)) {
      queue.credit = std::max(queue.credit - 1.0, 0.0);
      return ticket;
    }
  }
  // Single statements of organisations at their limit get what no other organisation can use.
  for (const bool over_limit : {false, true}) {
    for (auto& [rank, queue] : this->waiting) {
      if (const auto ticket = this->StartFrom(rank, &queue, over_limit)) {
        return ticket;
      }
    }
  }
  return std::nullopt;
}

Duration StatementQueue::PredictedWait(int rank,
                                       bool transaction,
                                       const std::string& organisation) const {
  size_t more_urgent = 0;
  size_t own_rank = 0;
  for (const auto& [waiting_rank, queue] : this->waiting) {
    if (waiting_rank < rank) {
      more_urgent += queue.queues.size();
    } else if (waiting_rank == rank) {
      own_rank = this->fair ? queue.queues.SizeAheadOf(organisation) : queue.queues.size();
    }
  }
  const auto wait_behind = [this](size_t ahead) -> Duration {
    return this->smoothed_statement_time * (ahead + 1) / this->max_single_statements;
  };
  Duration wait = wait_behind(more_urgent + own_rank);
  if (!this->fair) {
    return wait;
  }
  if (more_urgent > 0) {
    // The guaranteed minimum of the rank bounds the wait behind more urgent requests.
    wait = std::min(
        wait, wait_behind(static_cast<size_t>(static_cast<double>(own_rank + 1) / kRankFloor)));
  }
  if (transaction && this->HeldBy(organisation) >= this->OrganisationLimit()) {
    // One of the organisation's own connections has to become free first.
    const auto found = this->waiting.find(rank);
    const size_t own = found == this->waiting.end() ? 0 : found->second.queues.SizeOf(organisation);
    const Duration own_wait =
        this->smoothed_transaction_time * (own + 1) / this->OrganisationLimit();
    wait = std::max(wait, own_wait);
  }
  return wait;
}

std::map<std::string, size_t> StatementQueue::WaitingByOrganisation() const {
  std::map<std::string, size_t> sizes;
  for (const auto& [rank, queue] : this->waiting) {
    queue.queues.VisitSizes(
        [&sizes](const std::string& organisation, size_t size) { sizes[organisation] += size; });
  }
  return sizes;
}

uint32_t StatementQueue::Busy() const {
  size_t count = this->single_statements + this->transactions;
  for (const auto& [rank, queue] : this->waiting) {
    count += queue.queues.size();
  }
  return static_cast<uint32_t>(count);
}

}  // namespace poplarmoor
