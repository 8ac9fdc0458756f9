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

/// Outcome of a probe, with the endpoint's status if the endpoint answered.
struct ProbeResult {
  ProbeOutcome outcome = ProbeOutcome::kNoAnswer;
  std::optional<EndpointStatus> status;
};

/// Makes control calls to endpoints. Probes reuse open connections. Each other call opens a new
/// connection, because a reused connection that has become unresponsive would delay a promotion.
/// Thread-safe.
class EndpointControl {
 public:
  /// @param executor Executor of the I/O threads.
  /// @param driver Opens connections to endpoints; must outlive this object.
  EndpointControl(boost::asio::any_io_executor executor, EndpointDriver* driver);

  /// Requests the status of an endpoint.
  /// @param address Address of the endpoint, "IP:port".
  /// @param fresh Whether to open a new connection even if an idle one exists.
  /// @param timeout Time limit that applies separately to opening a connection and to the call.
  boost::asio::awaitable<ProbeResult> Probe(std::string address, bool fresh, Duration timeout);

  /// Performs a kFence, kPromote or kFollow action at the action's endpoint over a new connection.
  /// @param timeout Time limit that applies separately to opening the connection and to the call.
  /// @returns The endpoint's answer, or nothing when it did not answer.
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
