#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "kernel/member.h"

namespace poplarmoor {

/// Interface of the control plane for the operators' API. All calls are thread-safe.
class ClusterOperations {
 public:
  virtual ~ClusterOperations() = default;

  /// @returns All daemons in the member table, dead ones included.
  virtual std::vector<Member> Members() const = 0;

  /// @returns Highest revision that the platform has given to a configuration unit in force.
  virtual uint64_t ConfigRevision() const = 0;

  /// @returns Digest of the configuration in force; daemons with equal digests have the same
  ///     configuration.
  virtual std::string ConfigDigest() const = 0;

  /// @returns The configuration units in force, as a JSON array.
  virtual std::string ConfigJson() const = 0;

  /// Marks an endpoint as leaving on the platform and distributes the mark to all daemons, which
  /// then refuse new requests at the endpoint.
  /// @param endpoint Name of an endpoint.
  /// @throws std::runtime_error when the platform cannot be called or does not store the mark.
  virtual boost::asio::awaitable<void> Drain(std::string endpoint) = 0;

  /// Starts the promotion of a replica to primary in the service's group, or asks the daemons that
  /// monitor the group to start it. Does not wait for the promotion.
  /// @param service Name of a service.
  /// @throws std::runtime_error when the service's group is unknown, or when this daemon runs no
  ///     control plane.
  virtual boost::asio::awaitable<void> Promote(std::string service) = 0;
};

}  // namespace poplarmoor
