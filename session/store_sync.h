#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/change_schedule.h"
#include "kernel/copy_age.h"
#include "kernel/organisation/entry_write.h"
#include "kernel/placement/gateway_plan.h"
#include "kernel/random.h"
#include "session/object_store.h"
#include "session/process_settings.h"
#include "session/wait_list.h"

namespace poplarmoor {

class Cluster;
class PeerNetwork;
struct PeerMessage;
enum class PeerCallKind;
class RegistryCodec;

/// Keeps the cluster's routes, endpoints, takeover claims and list of daemons up to date with
/// the store.
class StoreSync {
 public:
  /// @param store,registry,cluster Must outlive this object.
  /// @param self This daemon, with the address at which the others reach it.
  /// @param bounds Times within which this daemon must apply a change in the store.
  /// @param revocation_bound Time after which no statement may run with a withdrawn API key; empty:
  ///     there is no such bound.
  StoreSync(boost::asio::any_io_executor executor,
            ObjectStore* store,
            const RegistryCodec* registry,
            Cluster* cluster,
            Peer self,
            ApplyBounds bounds,
            std::optional<std::chrono::milliseconds> revocation_bound = std::nullopt);

  /// Starts to watch the store for changes.
  void Start();

  /// Registers the handler that answers other daemons' requests for store objects from this
  /// daemon's copy of them.
  void Attach(PeerNetwork* network);

  /// Called after each write of this daemon's entry.
  using EntryObserver = std::function<void(const EntryWrite& write)>;
  void SetEntryObserver(EntryObserver observer) { this->entry_observer = std::move(observer); }

  /// Removes this daemon's entry from the store and stops renewing it, so that the other daemons
  /// divide this daemon's share of the endpoints' connections among themselves.
  boost::asio::awaitable<void> RemoveDaemonEntry();

  /// Registers an object that exists in the store and never changes. If the store is restored from
  /// a copy without the object, this daemon writes it again.
  /// @param value The object as JSON text.
  void KeepObject(std::string kind, std::string name, std::string value);

 private:
  // Applies objects of one kind from the store. The snapshot has all objects of the kind if
  // `complete` is true, else only the changed ones. They may have changed at any time since
  // `unchanged_until`; empty: they have changed just now, as far as this daemon knows.
  using Apply = std::function<
      void(const StoreSnapshot& snapshot, bool complete, std::optional<TimePoint> unchanged_until)>;

  // This daemon's copy of the objects of one kind.
  struct KindState {
    KindState(std::string name,
              ChangeSchedule schedule,
              Apply apply,
              WaitList changed,
              TimePoint started)
        : name(std::move(name)),
          schedule(schedule),
          apply(std::move(apply)),
          changed(std::move(changed)),
          age(std::make_shared<CopyAge>(schedule, started)) {}

    /// @returns Highest possible age of the copy; empty: it was never verified.
    std::optional<Duration> Age() const;

    /// @returns Time since an answer of the store, directly or through others; a day if there was
    ///     none.
    Duration Silence() const;

    /// @returns Whether other daemons are to be asked for a younger copy.
    bool NeedsYoungerCopy() const;

    /// @returns Highest possible age of the copy in milliseconds; -1: it was never verified.
    int64_t LoggedAge() const;

    std::string name;
    ChangeSchedule schedule;
    Apply apply;
    WaitList changed;
    std::map<std::string, StoredObject> objects;  // Objects by name, including deleted ones.
    StoreRevision revision;  // Revision of the copy; number 0: all objects must be listed again.
    // Store revision at which all objects were last listed. This daemon does not know which objects
    // were deleted before this revision.
    StoreRevision listed_at;
    bool stale_ok = true;     // The next listing may be some seconds old.
    bool watching = false;    // A watch call to the store is in progress.
    bool reachable = true;    // The last call to the store or to a watcher succeeded.
    std::string source;       // Watcher whose copy was recent enough last time; empty: none yet.
    size_t next_source = 0;   // Counts the other peers that were asked for a younger copy.
    std::string copy_source;  // Peer that last had a younger copy when one was needed.
    // Shared with ConfigurationGuard if the kind is that of the configuration.
    std::shared_ptr<CopyAge> age;
    std::set<std::string> queried;  // Peers that have not yet answered a query for a younger copy.
  };

  struct KeptObject {
    std::string kind;
    std::string name;
    std::string value;
  };

  boost::asio::awaitable<void> SyncKind(std::shared_ptr<KindState> kind);
  // Reads changes from a watcher, which is a daemon that watches the store on behalf of others.
  // @returns Whether a watcher has answered whose copy the store has confirmed recently.
  boost::asio::awaitable<bool> SyncFromWatchers(std::shared_ptr<KindState> kind);
  // Reads changes from random peers while the store is unreachable.
  boost::asio::awaitable<void> SyncFromPeers(std::shared_ptr<KindState> kind);
  // Asks other daemons for younger copies of a kind whenever the usual source has not confirmed
  // this daemon's copy in time: the daemon may be cut off from the store or turned away by it.
  boost::asio::awaitable<void> SeekYoungerCopies(std::shared_ptr<KindState> kind);
  // Chooses the peers to ask for a younger copy: the one that had one last time and, in turn, those
  // of a small set.
  std::vector<Peer> CopySources(KindState* kind);
  // Asks a peer for a younger copy.
  boost::asio::awaitable<void> QueryPeer(std::shared_ptr<KindState> kind, Peer peer);
  // Whether a kind calls the store now although a call for another kind has failed.
  bool MayCallStore(const KindState& kind) const;
  // Passes the age of a copy on after it has become younger.
  void NoteYounger(KindState* kind);
  // Lists all objects of the kind and merges them.
  // @throws StoreError, also if the listing is of an earlier era than the store's present one.
  boost::asio::awaitable<void> ListKind(std::shared_ptr<KindState> kind);
  // Lists all objects of a kind whose watch call was sent before the store was restored.
  boost::asio::awaitable<void> ListAgain(std::shared_ptr<KindState> kind);
  // Watches for changes of the kind and merges them.
  boost::asio::awaitable<void> WatchKind(std::shared_ptr<KindState> kind);
  // Records the era of an answer of the store or a peer. If the era is a new one, the store was
  // restored from a copy: all kinds are listed again, and what this daemon has written is written
  // again if the copy lacks it.
  // @param kind Kind of the objects in the answer.
  void NoteEra(const std::string& kind, StoreRevision seen);
  // Writes the registered objects that the restored store lacks.
  boost::asio::awaitable<void> RewriteKeptObjects();
  // Random time that spreads the calls of all daemons after the store was restored.
  Duration RestoreJitter();
  boost::asio::awaitable<bool> SyncFromStore(std::shared_ptr<KindState> kind);
  // @param wait Longest time for which the peer waits for a change.
  // @param limit Time limit for the answer, in addition to `wait`.
  // @param call_kind What happens to the call when the peer is silent.
  boost::asio::awaitable<bool> SyncFromPeer(std::shared_ptr<KindState> kind,
                                            Peer peer,
                                            Duration wait,
                                            Duration limit,
                                            PeerCallKind call_kind);
  boost::asio::awaitable<PeerMessage> HandleSyncRequest(PeerMessage message);
  // @param source Where the objects come from, for the log: kind of the call to the store, or name
  //     of a peer.
  void Merge(KindState* kind,
             const StoreSnapshot& snapshot,
             bool complete,
             std::string_view source);
  boost::asio::awaitable<void> TrackDaemons();
  // Writes this daemon's entry to the store.
  // @param listed The daemon's entry in the last listing; empty if it was not listed.
  // @param write Describes the write to the observer, except for `known` and `sent`.
  boost::asio::awaitable<void> WriteDaemonEntry(uint64_t renewal_count,
                                                std::optional<StoredObject> listed,
                                                EntryWrite write);
  void ApplyRoutes(const StoreSnapshot& snapshot);
  void ApplyEndpoints(const StoreSnapshot& snapshot,
                      bool complete,
                      std::optional<TimePoint> unchanged_until);
  void ApplyClaims(const StoreSnapshot& snapshot, bool complete);

  boost::asio::any_io_executor executor;
  ObjectStore* store;
  const RegistryCodec* registry;
  Cluster* cluster;
  Peer self;
  ApplyBounds bounds;
  std::optional<std::chrono::milliseconds> revocation_bound;
  std::map<std::string, std::shared_ptr<KindState>> kinds;  // Object kinds by name.
  // The object kind whose call to the store failed last; null while the store is reachable. The
  // other kinds wait until a call succeeds, except for the configuration: it is one small object
  // with a time bound, which must not wait for large ones.
  const KindState* retrying_kind = nullptr;
  WaitList store_recovered;
  std::optional<uint64_t> era;  // Latest era of the store in any answer; empty: no answer yet.
  WaitList restored;            // Notified when the era rises.
  std::vector<KeptObject> kept_objects;
  EntryObserver entry_observer;
  bool entry_written = false;  // This process has written the daemon's entry.
  RandomEngine random;
  bool leaving = false;  // This daemon removes its entry from the store and renews it no longer.
};

}  // namespace poplarmoor
