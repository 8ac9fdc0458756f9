#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "kernel/gateway_plan.h"
#include "session/process_settings.h"
#include "wire/relay_codec.h"

namespace poplarmoor {

class Cluster;
class ObjectStore;
class PeerNetwork;
class RegistryCodec;
struct StoreSnapshot;

/// Keeps the cluster's routes, endpoints, takeover claims and daemon count in step with the store.
class StoreSync {
 public:
  /// @param store,registry,cluster Must outlive this object.
  /// @param self This daemon, as the others reach it.
  /// @param bounds Times within which changes must be applied.
  StoreSync(ObjectStore* store,
            const RegistryCodec* registry,
            Cluster* cluster,
            Peer self,
            ApplyBounds bounds);

  /// Starts the watches.
  void Start(boost::asio::any_io_executor executor);

  /// Registers the handler that tells other daemons what this one has seen.
  void Attach(PeerNetwork* network);

  /// Removes this daemon's entry, so that the others use its connections.
  boost::asio::awaitable<void> Leave();

 private:
  // Applies a whole listing (`complete`) or changes.
  using Apply = std::function<void(const StoreSnapshot& snapshot, bool complete)>;

  boost::asio::awaitable<void> Follow(std::string kind,
                                      std::chrono::milliseconds wait,
                                      Apply apply);
  boost::asio::awaitable<void> CountDaemons();
  boost::asio::awaitable<void> SyncWithPeers();
  void Remember(const std::string& kind, const StoreSnapshot& snapshot);
  void ApplyRoutes(const StoreSnapshot& snapshot);
  void ApplyEndpoints(const StoreSnapshot& snapshot, bool complete);
  void ApplyClaims(const StoreSnapshot& snapshot);

  ObjectStore* store;
  const RegistryCodec* registry;
  Cluster* cluster;
  Peer self;
  ApplyBounds bounds;
  std::map<std::string, SyncObject> known;  // Newest objects seen, by kind and name.
  bool store_reachable = true;
  bool leaving = false;
};

}  // namespace poplarmoor
