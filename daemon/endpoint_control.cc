#include "daemon/endpoint_control.h"

#include "net/endpoint_connection.h"
#include "net/endpoint_driver.h"
#include "net/now.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxIdleConnections = 2;  // Maximum idle connections kept open to each endpoint.

/// Classifies a failed call by the time that passed before it failed. A failure in the first half
/// of the time limit counts as a refused or reset connection, a later one as a missing answer.
ProbeOutcome ClassifyFailure(TimePoint start, Duration timeout) {
  return Now() - start < timeout / 2 ? ProbeOutcome::kRefused : ProbeOutcome::kNoAnswer;
}

}  // namespace

EndpointControl::EndpointControl(asio::any_io_executor executor, EndpointDriver* driver)
    : executor(executor), driver(driver) {}

EndpointControl::ConnectionPtr EndpointControl::TakeIdle(const std::string& address) {
  std::lock_guard lock(this->mutex);
  std::vector<ConnectionPtr>& connections = this->idle[address];
  if (connections.empty()) {
    return nullptr;
  }
  ConnectionPtr connection = std::move(connections.back());
  connections.pop_back();
  return connection;
}

void EndpointControl::KeepIdle(const std::string& address, ConnectionPtr connection) {
  std::lock_guard lock(this->mutex);
  std::vector<ConnectionPtr>& connections = this->idle[address];
  if (connections.size() < kMaxIdleConnections) {
    connections.push_back(std::move(connection));
  }
}

asio::awaitable<ProbeResult> EndpointControl::Probe(std::string address,
                                                    bool fresh,
                                                    Duration timeout) {
  ProbeResult result;
  const TimePoint start = Now();
  ConnectionPtr connection = fresh ? nullptr : this->TakeIdle(address);
  const bool reused = connection != nullptr;
  try {
    if (!reused) {
      connection = this->driver->MakeConnection(this->executor, address);
      const StatementResult opened = co_await connection->OpenControl(timeout);
      if (opened.verdict != Verdict::kRan) {
        result.outcome = ClassifyFailure(start, timeout);
        co_return result;
      }
    }
    const EndpointAnswer answer = co_await connection->Status(0, Duration(0), timeout);
    result.status = answer.endpoint;
    result.outcome = ProbeOutcome::kAnswered;
    this->KeepIdle(address, connection);
  } catch (const std::exception&) {
    result.outcome = ClassifyFailure(start, timeout);
  }
  if (result.outcome == ProbeOutcome::kRefused && reused) {
    // The endpoint may have closed only the idle connection that was reused: repeat the probe over
    // a new one.
    co_return co_await this->Probe(address, /*fresh=*/true, timeout);
  }
  co_return result;
}

asio::awaitable<std::optional<EndpointAnswer>> EndpointControl::Perform(FailoverAction action,
                                                                        Duration timeout) {
  std::optional<EndpointAnswer> answer;
  try {
    const ConnectionPtr connection =
        this->driver->MakeConnection(this->executor, action.endpoint.address);
    const StatementResult opened = co_await connection->OpenControl(timeout);
    if (opened.verdict != Verdict::kRan) {
      co_return answer;
    }
    switch (action.kind) {
      case FailoverActionKind::kFence:
        answer = co_await connection->Fence(action.term, action.proposer, timeout);
        break;
      case FailoverActionKind::kPromote:
        answer =
            co_await connection->Promote(action.term, action.proposer, action.start_index, timeout);
        break;
      default:
        answer = co_await connection->Follow(action.term, action.primary.name,
                                             action.primary.address, timeout);
        break;
    }
    connection->Close();
  } catch (const std::exception&) {
    answer.reset();  // Failover retries the call.
  }
  co_return answer;
}

}  // namespace poplarmoor
