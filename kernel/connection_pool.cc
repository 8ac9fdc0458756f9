#include "kernel/connection_pool.h"

#include <algorithm>
#include <cassert>

namespace poplarmoor {

PoolSettings PoolSettings::FromService(const ServiceSettings& service) {
  PoolSettings settings;
  settings.budget = std::max(1, service.connections / 2);
  settings.min_open = std::min(settings.budget, service.slots + 1);
  settings.max_pinned = std::max(1, settings.budget / 2);
  settings.connect_time = service.connect_time;
  return settings;
}

std::optional<ConnectionPool::ConnectionId> ConnectionPool::Acquire(bool for_transaction,
                                                                    TimePoint now) {
  if (for_transaction && this->Pinned() >= this->settings.max_pinned) {
    return std::nullopt;
  }
  Connection* newest = nullptr;
  ConnectionId newest_id = 0;
  for (auto& [id, connection] : this->connections) {
    if (connection.state == State::kIdle &&
        (newest == nullptr || connection.last_used > newest->last_used)) {
      newest = &connection;
      newest_id = id;
    }
  }
  if (newest == nullptr) {
    return std::nullopt;
  }
  newest->state = State::kInUse;
  newest->pinned = for_transaction;
  newest->last_used = now;
  return newest_id;
}

bool ConnectionPool::Release(ConnectionId id, bool clean, TimePoint now) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    // The pool has already removed the connection, after a timeout or because the endpoint closed
    // it. True tells the owner to close its side of the connection.
    return true;
  }
  Connection& connection = found->second;
  assert(connection.state == State::kInUse && "only an acquired connection can be released");
  if (!clean || connection.close_on_release) {
    this->connections.erase(found);
    return true;
  }
  connection.state = State::kIdle;
  connection.pinned = false;
  connection.last_used = now;
  connection.last_success = now;
  return false;
}

void ConnectionPool::OnAnswer(ConnectionId id, TimePoint now) {
  const auto found = this->connections.find(id);
  if (found != this->connections.end()) {
    found->second.last_success = now;
    found->second.last_used = now;
  }
}

void ConnectionPool::OnOpened(ConnectionId id, TimePoint now) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  found->second.state = State::kIdle;
  found->second.last_success = now;
  found->second.last_used = now;
  this->failures = 0;
}

void ConnectionPool::OnOpenFailed(ConnectionId id, TimePoint now, uint64_t random) {
  this->connections.erase(id);
  // Maximum number of doublings of backoff_base; keeps the result within 64 bits.
  constexpr int kMaxDoublings = 16;
  const Duration full = std::min<Duration>(
      this->settings.backoff_base * (1 << std::min(this->failures, kMaxDoublings)),
      this->settings.backoff_cap);
  ++this->failures;
  // The second half of the wait is random, so that the owners do not all reconnect to a restarted
  // endpoint at the same time.
  const auto half = static_cast<uint64_t>(full.count() / 2);
  const Duration wait(static_cast<int64_t>(half + random % (half + 1)));
  this->open_not_before = std::max(this->open_not_before, now + wait);
}

void ConnectionPool::OnClosed(ConnectionId id) {
  this->connections.erase(id);
}

std::vector<ConnectionPool::ConnectionId> ConnectionPool::OnTimeout(ConnectionId id,
                                                                    Duration timeout,
                                                                    TimePoint now) {
  std::vector<ConnectionId> close;
  if (this->connections.erase(id) > 0) {
    close.push_back(id);
  }
  for (auto each = this->connections.begin(); each != this->connections.end();) {
    Connection& connection = each->second;
    const bool old =
        connection.state != State::kOpening && connection.last_success + timeout <= now;
    if (old && connection.state == State::kIdle) {
      close.push_back(each->first);
      each = this->connections.erase(each);
      continue;
    }
    connection.close_on_release = connection.close_on_release || old;
    ++each;
  }
  return close;
}

ConnectionPool::Plan ConnectionPool::Tick(size_t waiting, TimePoint now) {
  Plan plan;
  int idle = this->Count(State::kIdle);
  const int opening = this->Count(State::kOpening);
  const int busy = this->Count(State::kInUse);
  // One spare connection is kept ready, because opening one takes longer than a statement.
  const int demand = busy + static_cast<int>(std::min<size_t>(waiting, this->settings.budget)) + 1;
  const int target = std::min(std::max(demand, this->settings.min_open), this->settings.budget);

  for (auto each = this->connections.begin(); each != this->connections.end();) {
    const Connection& connection = each->second;
    const bool surplus = busy + opening + idle > target;
    const bool over_budget = busy + opening + idle > this->settings.budget;
    const bool unused = connection.last_used + this->settings.idle_limit <= now;
    if (connection.state == State::kIdle && (over_budget || (surplus && unused))) {
      plan.close.push_back(each->first);
      each = this->connections.erase(each);
      --idle;
      continue;
    }
    if (connection.state == State::kIdle && surplus) {
      const TimePoint expiry = connection.last_used + this->settings.idle_limit;
      plan.next = plan.next ? std::min(*plan.next, expiry) : expiry;
    }
    ++each;
  }

  const int missing = target - busy - opening - idle;
  if (missing <= 0) {
    return plan;
  }
  if (now < this->open_not_before) {
    plan.next = plan.next ? std::min(*plan.next, this->open_not_before) : this->open_not_before;
    return plan;
  }
  // After a failure to open a connection, only one connection is opened at a time until one
  // succeeds.
  const int allowed = this->failures > 0 ? 1 : this->settings.max_opening;
  for (int count = std::min(missing, allowed - opening); count > 0; --count) {
    const ConnectionId id = this->next_id++;
    this->connections.emplace(id, Connection());
    plan.open.push_back(id);
  }
  return plan;
}

int ConnectionPool::Pinned() const {
  return static_cast<int>(std::count_if(this->connections.begin(), this->connections.end(),
                                        [](const auto& each) { return each.second.pinned; }));
}

int ConnectionPool::Count(State state) const {
  return static_cast<int>(
      std::count_if(this->connections.begin(), this->connections.end(),
                    [&](const auto& each) { return each.second.state == state; }));
}

}  // namespace poplarmoor
