#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>

#include "kernel/registry.h"

namespace poplarmoor {

class EndpointConnection;
struct TrafficCounter;

/// Makes connections that speak the protocol of the database servers. Drivers are plug-ins that are
/// registered in Registry<EndpointDriver>; the settings select one of them by its name.
class EndpointDriver {
 public:
  virtual ~EndpointDriver() = default;

  /// @param executor Executor of the I/O threads; the connection runs on a new strand over it.
  /// @param address Address of the endpoint, "IP:port".
  /// @returns A connection that is not open yet.
  virtual std::shared_ptr<EndpointConnection> MakeConnection(boost::asio::any_io_executor executor,
                                                             std::string address) = 0;

  /// Counts the bytes of the control connections that are made from now on.
  /// @param counter Receives the byte counts; null turns counting off.
  void CountControlTraffic(std::shared_ptr<TrafficCounter> counter) {
    this->control_traffic = std::move(counter);
  }

 protected:
  // Counts the bytes of control connections; null when they are not counted.
  std::shared_ptr<TrafficCounter> control_traffic;
};

}  // namespace poplarmoor
