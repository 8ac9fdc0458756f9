#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "kernel/gateway_plan.h"
#include "kernel/random.h"
#include "session/object_store.h"
#include "session/process_settings.h"
#include "session/wait_list.h"

namespace poplarmoor {

class Cluster;
class PeerNetwork;
struct PeerMessage;
class RegistryCodec;

/// Keeps the cluster's routes, endpoints, takeover claims and daemon count in step with the store.
class StoreSync {
 public:
  /// @param store,registry,cluster Must outlive this object.
  /// @param self This daemon, as the others reach it.
  /// @param bounds Times within which changes must be applied.
  StoreSync(boost::asio::any_io_executor executor,
            ObjectStore* store,
            const RegistryCodec* registry,
            Cluster* cluster,
            Peer self,
            ApplyBounds bounds);

  /// Starts the watches.
  void Start();

  /// Registers the handler that tells other daemons what this one has seen.
  void Attach(PeerNetwork* network);

  /// Removes this daemon's entry, so that the others use its connections.
  boost::asio::awaitable<void> Leave();

 private:
  // Applies a whole listing (`complete`) or changes.
  using Apply = std::function<void(const StoreSnapshot& snapshot, bool complete)>;

  // What this daemon knows of one kind of objects.
  struct Kind {
    Kind(std::string name, std::chrono::milliseconds wait, Apply apply, WaitList changed)
        : name(std::move(name)), wait(wait), apply(std::move(apply)), changed(std::move(changed)) {}

    std::string name;
    std::chrono::milliseconds wait;  // Longest wait of a watch.
    Apply apply;
    WaitList changed;
    std::map<std::string, StoredObject> objects;  // With those that were deleted, by name.
    uint64_t revision = 0;   // Up to which the objects are known; 0: not at all.
    uint64_t listed_at = 0;  // Deletions before this revision are not known.
    bool reachable = true;   // The last call to the store or to a watcher succeeded.
  };

  boost::asio::awaitable<void> Follow(std::shared_ptr<Kind> kind);
  // Learns changes from a daemon that watches the store.
  boost::asio::awaitable<bool> FollowWatchers(std::shared_ptr<Kind> kind);
  // Learns from random peers what they know, while the store is lost.
  boost::asio::awaitable<void> AskPeers(std::shared_ptr<Kind> kind);
  boost::asio::awaitable<bool> FollowStore(std::shared_ptr<Kind> kind);
  boost::asio::awaitable<bool> FollowPeer(std::shared_ptr<Kind> kind, Peer peer, Duration wait);
  boost::asio::awaitable<PeerMessage> OnSync(PeerMessage message);
  void Merge(Kind* kind, const StoreSnapshot& snapshot, bool complete);
  boost::asio::awaitable<void> CountDaemons();
  // @param listed Whether the store is known to have an entry of this daemon.
  boost::asio::awaitable<void> StoreEntry(uint64_t beat, bool listed);
  void ApplyRoutes(const StoreSnapshot& snapshot);
  void ApplyEndpoints(const StoreSnapshot& snapshot, bool complete);
  void ApplyClaims(const StoreSnapshot& snapshot);

  boost::asio::any_io_executor executor;
  ObjectStore* store;
  const RegistryCodec* registry;
  Cluster* cluster;
  Peer self;
  ApplyBounds bounds;
  std::map<std::string, std::shared_ptr<Kind>> kinds;  // By name.
  const Kind* store_tester = nullptr;                  // The kind that tries the lost store.
  WaitList store_back;
  RandomEngine random;
  bool leaving = false;
};

}  // namespace poplarmoor
