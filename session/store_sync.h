#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "session/process_settings.h"

namespace poplarmoor {

class Cluster;
class ObjectStore;
class RegistryCodec;
struct StoreSnapshot;

/// Keeps the cluster's routes, endpoints, takeover claims and daemon count in step with the store.
class StoreSync {
 public:
  /// @param store,registry,cluster Must outlive this object.
  /// @param daemon Name of this daemon.
  /// @param bounds Times within which changes must be applied.
  StoreSync(ObjectStore* store,
            const RegistryCodec* registry,
            Cluster* cluster,
            std::string daemon,
            ApplyBounds bounds);

  /// Starts the watches.
  void Start(boost::asio::any_io_executor executor);

  /// Removes this daemon's entry, so that the others use its connections.
  boost::asio::awaitable<void> Leave();

 private:
  // Applies a whole listing (`complete`) or changes.
  using Apply = std::function<void(const StoreSnapshot& snapshot, bool complete)>;

  boost::asio::awaitable<void> Follow(std::string kind,
                                      std::chrono::milliseconds wait,
                                      Apply apply);
  boost::asio::awaitable<void> CountDaemons();
  void ApplyRoutes(const StoreSnapshot& snapshot);
  void ApplyEndpoints(const StoreSnapshot& snapshot, bool complete);
  void ApplyClaims(const StoreSnapshot& snapshot);

  ObjectStore* store;
  const RegistryCodec* registry;
  Cluster* cluster;
  std::string daemon;
  ApplyBounds bounds;
  bool leaving = false;
};

}  // namespace poplarmoor
