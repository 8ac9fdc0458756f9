#pragma once

#include <optional>
#include <string>

#include "kernel/endpoint_record.h"
#include "kernel/route_table.h"

namespace poplarmoor {

struct StoredObject;

/// Decodes registry entries and routes, which each platform stores in a format of its own.
class RegistryCodec {
 public:
  virtual ~RegistryCodec() = default;

  /// @returns Name of the object kind under which the store keeps the endpoints' registry entries.
  virtual std::string endpoint_kind() const = 0;

  /// @returns Name of the object kind under which the store keeps the object with the routes.
  virtual std::string routes_kind() const = 0;

  /// @returns Name of the object that holds the routes.
  virtual std::string routes_name() const = 0;

  /// @param object Registry entry.
  /// @returns The endpoint, or nothing when the entry is malformed or describes no usable endpoint.
  virtual std::optional<EndpointRecord> DecodeEndpoint(const StoredObject& object) const = 0;

  /// @param object Object that holds the routes.
  /// @throws std::runtime_error when the object is malformed.
  virtual RouteTable DecodeRoutes(const StoredObject& object) const = 0;
};

}  // namespace poplarmoor
