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

  /// @returns Highest platform revision among the configuration units in force.
  virtual uint64_t ConfigRevision() const = 0;

  /// @returns Digest of the configuration in force; equal digests mean equal configuration.
  virtual std::string ConfigDigest() const = 0;

  /// @returns The configuration units in force, as a JSON array.
  virtual std::string ConfigJson() const = 0;

  /// Marks an endpoint as leaving on the platform, and distributes this to all daemons.
  /// @param endpoint Name of an endpoint.
  /// @throws std::runtime_error when the platform cannot be called or does not store the mark.
  virtual boost::asio::awaitable<void> Drain(std::string endpoint) = 0;

  /// Starts a promotion in the service's group.
  /// @param service Name of a service.
  /// @throws std::runtime_error when the promotion could not be started.
  virtual boost::asio::awaitable<void> Promote(std::string service) = 0;
};

}  // namespace poplarmoor
