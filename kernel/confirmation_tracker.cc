#include "kernel/confirmation_tracker.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace poplarmoor {

namespace {

// A replica counts as unreachable if its last status is older than this. Long polls for a status
// end after at most 1 s, so a reachable replica sends one more often.
constexpr Duration kReplicaTimeout = 2000ms;
// A replica that has not yet sent a status counts as reachable for this long after a term began or
// after the owner took over the group.
constexpr Duration kFirstStatusTimeout = 1000ms;
constexpr double kSmoothing = 0.2;  // Weight of a new confirmation delay in the smoothed mean.

}  // namespace

std::vector<uint64_t> ConfirmationTracker::SetTerm(uint64_t term,
                                                   std::vector<std::string> replicas,
                                                   size_t needed,
                                                   TimePoint now) {
  std::vector<uint64_t> abandoned;
  if (term < this->term) {
    return abandoned;
  }
  if (term > this->term) {
    for (auto each = this->waiting.begin(); each != this->waiting.end();) {
      if (each->second.term >= term) {
        // The write keeps waiting: it belongs to the new term or a later one. The primary ran it
        // before this owner learnt of that term.
        ++each;
        continue;
      }
      abandoned.push_back(each->second.id);
      each = this->waiting.erase(each);
    }
    this->replicas.clear();
    this->confirmed = 0;
    this->stalled_index = 0;
    this->term = term;
    this->term_started_at = now;
  }
  std::map<std::string, Replica> updated;
  for (std::string& name : replicas) {
    const Replica known = this->replicas[name];
    updated.emplace(std::move(name), known);
  }
  this->replicas = std::move(updated);
  this->needed = needed;
  return abandoned;
}

std::optional<Duration> ConfirmationTracker::PredictDelay(TimePoint now) const {
  const auto reporting = static_cast<size_t>(
      std::count_if(this->replicas.begin(), this->replicas.end(), [&](const auto& each) {
        const Replica& replica = each.second;
        return replica.last_status_at ? now - *replica.last_status_at <= kReplicaTimeout
                                      : now - this->term_started_at <= kFirstStatusTimeout;
      }));
  if (reporting < this->needed) {
    return std::nullopt;
  }
  Duration delay(static_cast<int64_t>(this->mean_delay));
  // If the oldest write has waited longer than the mean, replication has stalled, so the estimate
  // is at least the time that this write has waited.
  if (!this->waiting.empty()) {
    delay = std::max(delay, now - this->waiting.begin()->second.added);
  }
  if (this->stalled_index > 0) {
    delay = std::max(delay, now - this->stalled_since);
  }
  return delay;
}

bool ConfirmationTracker::CanConfirm(TimePoint deadline, TimePoint now) const {
  if (this->needed == 0) {
    return true;
  }
  const std::optional<Duration> delay = this->PredictDelay(now);
  return delay && now + *delay <= deadline;
}

ConfirmationTracker::AddResult ConfirmationTracker::Add(uint64_t id,
                                                        uint64_t answer_term,
                                                        LogPosition position,
                                                        TimePoint deadline,
                                                        TimePoint now) {
  if (this->needed == 0) {
    return AddResult::kConfirmed;
  }
  if (answer_term < this->term) {
    return AddResult::kReplaced;
  }
  if (answer_term == this->term && position.index <= this->confirmed) {
    this->RecordDelay(Duration(0));
    return AddResult::kConfirmed;
  }
  this->waiting.emplace(position.index, Write{id, answer_term, deadline, now});
  return AddResult::kWaiting;
}

std::vector<uint64_t> ConfirmationTracker::OnStatus(const EndpointStatus& status, TimePoint now) {
  std::vector<uint64_t> done;
  const auto found = this->replicas.find(status.endpoint);
  if (found == this->replicas.end() || status.term != this->term || status.is_primary) {
    return done;
  }
  found->second.last_status_at = now;
  if (status.last.term != this->term) {
    return done;
  }
  found->second.received = std::max(found->second.received, status.received);
  this->UpdateConfirmed();
  auto each = this->waiting.begin();
  while (each != this->waiting.end() && each->first <= this->confirmed) {
    if (each->second.term != this->term) {
      // Skips the waiting write: it is of a later term, and only entries of the current term are
      // confirmed. It keeps waiting until SetTerm() starts its term.
      ++each;
      continue;
    }
    this->RecordDelay(now - each->second.added);
    done.push_back(each->second.id);
    each = this->waiting.erase(each);
  }
  return done;
}

void ConfirmationTracker::RecordDelay(Duration delay) {
  this->mean_delay += kSmoothing * (static_cast<double>(delay.count()) - this->mean_delay);
}

void ConfirmationTracker::UpdateConfirmed() {
  if (this->needed == 0 || this->replicas.size() < this->needed) {
    return;
  }
  std::vector<uint64_t> received;
  for (const auto& [name, replica] : this->replicas) {
    received.push_back(replica.received);
  }
  std::sort(received.begin(), received.end(), std::greater<>());
  this->confirmed = std::max(this->confirmed, received[this->needed - 1]);
  if (this->stalled_index <= this->confirmed) {
    this->stalled_index = 0;
  }
}

std::vector<uint64_t> ConfirmationTracker::TakeExpired(TimePoint now) {
  std::vector<uint64_t> expired;
  for (auto each = this->waiting.begin(); each != this->waiting.end();) {
    if (each->second.deadline > now) {
      ++each;
      continue;
    }
    if (this->stalled_index == 0) {
      this->stalled_index = each->first;
      this->stalled_since = each->second.added;
    }
    expired.push_back(each->second.id);
    each = this->waiting.erase(each);
  }
  return expired;
}

std::optional<TimePoint> ConfirmationTracker::NextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& [index, write] : this->waiting) {
    next = next ? std::min(*next, write.deadline) : write.deadline;
  }
  return next;
}

std::optional<uint64_t> ConfirmationTracker::WaitIndex() const {
  if (!this->waiting.empty()) {
    return this->waiting.begin()->first;
  }
  return this->stalled_index > 0 ? std::optional(this->stalled_index) : std::nullopt;
}

}  // namespace poplarmoor
