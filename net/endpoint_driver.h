#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>

#include "kernel/registry.h"

namespace poplarmoor {

class EndpointConnection;
struct TrafficCounter;

/// Protocol towards the database servers. Plug-ins are registered in Registry<EndpointDriver>; the
/// settings select one by name.
class EndpointDriver {
 public:
  virtual ~EndpointDriver() = default;

  /// @param executor Executor of the I/O threads; the connection makes its own strand.
  /// @param address Address of the endpoint, "IP:port".
  /// @returns A connection that is not open yet.
  virtual std::shared_ptr<EndpointConnection> MakeConnection(boost::asio::any_io_executor executor,
                                                             std::string address) = 0;

  /// @param counter Counts the bytes of control connections that are made from now on.
  void CountControlTraffic(std::shared_ptr<TrafficCounter> counter) {
    this->control_traffic = std::move(counter);
  }

 protected:
  std::shared_ptr<TrafficCounter> control_traffic;  // Null: not counted.
};

}  // namespace poplarmoor
