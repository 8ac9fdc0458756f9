#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "kernel/member.h"

namespace poplarmoor {

/// What the operators' API asks the control plane. All calls are thread-safe.
class ClusterOperations {
 public:
  virtual ~ClusterOperations() = default;

  /// @returns All known daemons.
  virtual std::vector<Member> Members() const = 0;

  /// @returns Highest platform revision of the configuration in force.
  virtual uint64_t ConfigRevision() const = 0;

  /// @returns Digest of the configuration in force; equal digests mean equal configuration.
  virtual std::string ConfigDigest() const = 0;

  /// @returns The configuration units in force, as a JSON array.
  virtual std::string ConfigJson() const = 0;

  /// Announces that an endpoint is leaving.
  /// @param endpoint Name of an endpoint.
  /// @throws std::runtime_error when the platform did not accept it.
  virtual boost::asio::awaitable<void> Drain(std::string endpoint) = 0;

  /// Starts a promotion of the service's group.
  /// @param service Name of a service.
  /// @throws std::runtime_error when it could not be started.
  virtual boost::asio::awaitable<void> Promote(std::string service) = 0;
};

}  // namespace poplarmoor
