#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "kernel/failover_action.h"
#include "kernel/failure_detector.h"
#include "wire/endpoint_answer.h"

namespace poplarmoor {

class EndpointConnection;
class EndpointDriver;

/// Outcome of a probe with the status that was answered.
struct ProbeResult {
  ProbeOutcome outcome = ProbeOutcome::kNoAnswer;
  std::optional<EndpointStatus> status;
};

/// Control calls to endpoints: probes over kept connections, and everything else over fresh ones,
/// because a connection that went silent must not delay a promotion. Thread-safe.
class EndpointControl {
 public:
  /// @param executor Executor of the I/O threads.
  /// @param driver Makes connections; must outlive this object.
  EndpointControl(boost::asio::any_io_executor executor, EndpointDriver* driver);

  /// Calls status.
  /// @param address Address of the endpoint, "IP:port".
  /// @param fresh Whether to open a new connection.
  /// @param timeout Time limit of connecting and exchange each.
  boost::asio::awaitable<ProbeResult> Probe(std::string address, bool fresh, Duration timeout);

  /// Performs a kFence, kPromote or kFollow.
  /// @returns The answer, or nothing when there was none.
  boost::asio::awaitable<std::optional<EndpointAnswer>> Perform(FailoverAction action,
                                                                Duration timeout);

 private:
  using ConnectionPtr = std::shared_ptr<EndpointConnection>;

  ConnectionPtr TakeIdle(const std::string& address);
  void KeepIdle(const std::string& address, ConnectionPtr connection);

  boost::asio::any_io_executor executor;
  EndpointDriver* driver;
  std::mutex mutex;  // Guards `idle`.
  std::map<std::string, std::vector<ConnectionPtr>> idle;
};

}  // namespace poplarmoor
