#include "daemon/write_confirmer.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "net/endpoint_connection.h"
#include "net/endpoint_driver.h"
#include "net/now.h"
#include "net/strand.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr Duration kPollWait = 500ms;      // Longest time that a status poll waits at a replica.
constexpr Duration kPollTimeout = 1000ms;  // Timeout of a status poll, including kPollWait.
constexpr Duration kIdleLimit = 60s;       // Time without writes until a confirmer is idle.
constexpr Duration kPollBackoff = 50ms;    // Pause after a failed status poll.

asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

WriteConfirmer::WriteConfirmer(asio::any_io_executor executor, EndpointDriver* driver)
    : executor(executor), driver(driver) {}

void WriteConfirmer::SetTerm(const GroupState& group,
                             uint64_t new_term,
                             const std::string& primary) {
  std::vector<EndpointInfo> new_replicas;
  std::vector<std::string> names;
  for (const EndpointInfo& endpoint : group.endpoints) {
    if (endpoint.name != primary) {
      new_replicas.push_back(endpoint);
      new_replicas.back().leaving = false;  // A leaving replica still confirms writes.
      names.push_back(endpoint.name);
    }
  }
  std::vector<uint64_t> abandoned;
  uint64_t current = 0;
  {
    std::lock_guard lock(this->mutex);
    this->last_used = Now();
    if (new_term < this->term || (new_term == this->term && new_replicas == this->replicas)) {
      return;
    }
    this->term = new_term;
    this->replicas = new_replicas;
    current = ++this->generation;
    // Together with the primary, this number of replicas is a majority of the group.
    const size_t needed = group.endpoints.size() / 2;
    abandoned = this->tracker.SetTerm(new_term, std::move(names), needed, Now());
  }
  this->FinishWaiting(abandoned, false);
  for (const EndpointInfo& replica : new_replicas) {
    asio::co_spawn(
        MakeStrand(this->executor),
        [self = this->shared_from_this(), replica, current] {
          return self->Poll(replica, current);
        },
        asio::detached);
  }
}

bool WriteConfirmer::CanConfirm(TimePoint deadline) {
  std::lock_guard lock(this->mutex);
  return this->tracker.CanConfirm(deadline, Now());
}

asio::awaitable<bool> WriteConfirmer::Confirm(uint64_t answer_term,
                                              LogPosition position,
                                              TimePoint deadline) {
  const auto self = this->shared_from_this();
  const auto pending_result = std::make_shared<PendingResult>(co_await asio::this_coro::executor);
  uint64_t id = 0;
  {
    std::lock_guard lock(this->mutex);
    id = this->next_id++;
    const auto added = this->tracker.Add(id, answer_term, position, deadline, Now());
    if (added != ConfirmationTracker::AddResult::kWaiting) {
      co_return added == ConfirmationTracker::AddResult::kConfirmed;
    }
    this->waiting.emplace(id, pending_result);
  }
  const std::optional<bool> confirmed = co_await pending_result->Wait(deadline);
  if (confirmed) {
    co_return *confirmed;
  }
  std::vector<uint64_t> expired;
  {
    std::lock_guard lock(this->mutex);
    this->waiting.erase(id);
    expired = this->tracker.TakeExpired(Now());
  }
  this->FinishWaiting(expired, false);
  co_return false;
}

void WriteConfirmer::FinishWaiting(const std::vector<uint64_t>& ids, bool confirmed) {
  std::vector<std::shared_ptr<PendingResult>> pending_results;
  {
    std::lock_guard lock(this->mutex);
    for (const uint64_t id : ids) {
      const auto found = this->waiting.find(id);
      if (found != this->waiting.end()) {
        pending_results.push_back(std::move(found->second));
        this->waiting.erase(found);
      }
    }
  }
  for (const auto& pending_result : pending_results) {
    pending_result->Set(confirmed);
  }
}

bool WriteConfirmer::IsCurrentGeneration(uint64_t poll_generation) {
  std::lock_guard lock(this->mutex);
  return this->generation == poll_generation;
}

uint64_t WriteConfirmer::NextWaitIndex(uint64_t received) {
  std::lock_guard lock(this->mutex);
  // The returned index is above `received`, because a replica answers immediately when it has
  // already received the index that the poll names. Such polls would repeat without a pause.
  return std::max(this->tracker.WaitIndex().value_or(0), received + 1);
}

asio::awaitable<void> WriteConfirmer::Poll(EndpointInfo replica, uint64_t poll_generation) {
  std::shared_ptr<EndpointConnection> connection;
  uint64_t received = 0;
  bool failure_logged = false;  // Whether the current series of failed polls has been logged.
  while (this->IsCurrentGeneration(poll_generation)) {
    std::string failure;
    try {
      if (connection == nullptr) {
        connection = this->driver->MakeConnection(this->executor, replica.address);
        const StatementResult opened = co_await connection->OpenControl(kPollTimeout);
        if (opened.verdict != Verdict::kRan) {
          throw std::runtime_error(opened.message);
        }
      }
      const uint64_t wait_index = this->NextWaitIndex(received);
      const EndpointAnswer answer =
          co_await connection->Status(wait_index, kPollWait, kPollTimeout);
      received = answer.endpoint.received;
      std::vector<uint64_t> confirmed;
      {
        std::lock_guard lock(this->mutex);
        EndpointStatus status = answer.endpoint;
        status.endpoint = replica.name;
        confirmed = this->tracker.OnStatus(status, Now());
      }
      this->FinishWaiting(confirmed, true);
      failure_logged = false;
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (!failure.empty()) {
      if (!failure_logged) {
        Log(LogLevel::kWarn, "cannot get the status of a replica to confirm writes",
            {{"endpoint", replica.name}, {"error", failure}});
      }
      failure_logged = true;
      connection = nullptr;
      received = 0;
      co_await Sleep(kPollBackoff);
    }
  }
}

bool WriteConfirmer::IsIdle(TimePoint now) {
  std::lock_guard lock(this->mutex);
  return this->waiting.empty() && now - this->last_used > kIdleLimit;
}

void WriteConfirmer::Stop() {
  std::lock_guard lock(this->mutex);
  ++this->generation;
  // SetTerm() returns without effect if neither the term nor the list of replicas has changed. With
  // an empty list here, a later SetTerm() of the same term sees a changed list and starts again to
  // poll the replicas for how much of the log they have received.
  this->replicas.clear();
}

}  // namespace poplarmoor
