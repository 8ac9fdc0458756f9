#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "kernel/member.h"

namespace poplarmoor {

/// Interface through which the operators' API reads and changes the state of the cluster; the
/// control plane implements it. All calls are thread-safe.
class ClusterOperations {
 public:
  virtual ~ClusterOperations() = default;

  /// @returns All daemons in the member table, dead ones included.
  virtual std::vector<Member> Members() const = 0;

  /// @returns The highest of the revision numbers that the platform has assigned to the
  ///     configuration units which this daemon applies.
  virtual uint64_t ConfigRevision() const = 0;

  /// @returns Hash of the configuration that this daemon applies, as hexadecimal text. Daemons with
  ///     equal hashes apply the same configuration.
  virtual std::string ConfigDigest() const = 0;

  /// @returns The configuration units that this daemon applies, as a JSON array.
  virtual std::string ConfigJson() const = 0;

  /// Stores on the platform that an endpoint is leaving, and tells all daemons, which then refuse
  /// new requests at the endpoint.
  /// @param endpoint Name of the endpoint.
  /// @throws std::runtime_error when the platform cannot be called or does not store the change.
  virtual boost::asio::awaitable<void> Drain(std::string endpoint) = 0;

  /// Starts the promotion of a replica to primary in the service's group, or asks the daemons that
  /// monitor the group to start it. Returns without waiting for the promotion to end.
  /// @param service Name of a service.
  /// @throws std::runtime_error when the service's group is unknown, or when this daemon runs no
  ///     control plane.
  virtual boost::asio::awaitable<void> Promote(std::string service) = 0;
};

}  // namespace poplarmoor
