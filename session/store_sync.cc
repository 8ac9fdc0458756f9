#include "session/store_sync.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <set>

#include "kernel/random.h"
#include "net/peer_network.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/daemon_entry.h"
#include "session/object_store.h"
#include "session/registry_codec.h"
#include "session/takeover_claim.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Longest wait of a watch whose delay no bound limits. Calls are paid for.
constexpr std::chrono::milliseconds kUnboundedWait{25000};
// A store that drops its history may leave a waiting watch without news, which only the next watch
// notices. The wait and the retries after it must fit into the bound.
constexpr double kWaitPerBound = 0.65;
// Retry of a failed store call; the jitter keeps the daemons apart.
constexpr Duration kFirstRetry = 100ms;
constexpr Duration kMaxRetry = 1s;
// The daemon count changes rarely and only shifts the connection shares.
constexpr Duration kCountInterval = 15s;
// An entry that has not been renewed for this time belongs to a daemon that is gone.
constexpr Duration kDaemonLapse = 50s;
// The first listings after a start miss daemons that start at the same time.
constexpr std::array<Duration, 3> kFirstCounts{1s, 2s, 4s};
// While the store cannot be reached, a peer is asked this often.
constexpr Duration kPeerSyncInterval = 300ms;
constexpr std::chrono::milliseconds kPeerSyncLimit{250};

std::chrono::milliseconds WaitFor(std::chrono::milliseconds bound) {
  return std::chrono::milliseconds(static_cast<int64_t>(bound.count() * kWaitPerBound));
}

}  // namespace

StoreSync::StoreSync(ObjectStore* store,
                     const RegistryCodec* registry,
                     Cluster* cluster,
                     Peer self,
                     ApplyBounds bounds)
    : store(store), registry(registry), cluster(cluster), self(std::move(self)), bounds(bounds) {}

void StoreSync::Start(asio::any_io_executor executor) {
  asio::co_spawn(
      executor,
      this->Follow(this->registry->routes_kind(), WaitFor(this->bounds.routes),
                   [this](const StoreSnapshot& snapshot, bool) { this->ApplyRoutes(snapshot); }),
      asio::detached);
  asio::co_spawn(executor,
                 this->Follow(this->registry->endpoint_kind(), WaitFor(this->bounds.endpoints),
                              [this](const StoreSnapshot& snapshot, bool complete) {
                                this->ApplyEndpoints(snapshot, complete);
                              }),
                 asio::detached);
  asio::co_spawn(
      executor,
      this->Follow(kTakeoverKind, kUnboundedWait,
                   [this](const StoreSnapshot& snapshot, bool) { this->ApplyClaims(snapshot); }),
      asio::detached);
  asio::co_spawn(executor, this->CountDaemons(), asio::detached);
  asio::co_spawn(executor, this->SyncWithPeers(), asio::detached);
}

asio::awaitable<void> StoreSync::Follow(std::string kind,
                                        std::chrono::milliseconds wait,
                                        Apply apply) {
  RandomEngine random(std::random_device{}());
  uint64_t revision = 0;
  Duration retry = kFirstRetry;
  bool reachable = true;
  for (;;) {
    std::string cause;
    try {
      const bool complete = revision == 0;
      StoreSnapshot snapshot;
      if (complete) {
        snapshot = co_await this->store->List(kind, false);
      } else {
        snapshot = co_await this->store->Watch(kind, revision, wait);
      }
      revision = snapshot.revision;
      if (!reachable) {
        Log(LogLevel::kInfo, "store regained", {{"kind", kind}, {"revision", revision}});
      }
      reachable = true;
      this->store_reachable = true;
      retry = kFirstRetry;
      this->Remember(kind, snapshot);
      apply(snapshot, complete);
      continue;
    } catch (const StoreError& error) {
      cause = error.what();
      if (error.failure == StoreFailure::kHistoryGone) {
        revision = 0;
        Log(LogLevel::kInfo, "store history gone, listing again", {{"kind", kind}});
        continue;
      }
    }
    if (reachable) {
      Log(LogLevel::kWarn, "store lost", {{"kind", kind}, {"cause", cause}});
    }
    reachable = false;
    this->store_reachable = false;
    co_await Pause(retry + RandomDuration(&random, retry));
    retry = std::min(retry * 2, kMaxRetry);
  }
}

void StoreSync::ApplyRoutes(const StoreSnapshot& snapshot) {
  for (const StoredObject& object : snapshot.objects) {
    if (object.name != this->registry->routes_name() || object.deleted) {
      continue;
    }
    try {
      this->cluster->ApplyRoutes(this->registry->DecodeRoutes(object));
    } catch (const std::exception& error) {
      Log(LogLevel::kError, "configuration cannot be read, the previous one stays in force",
          {{"revision", object.revision}, {"cause", error.what()}});
    }
  }
}

void StoreSync::ApplyEndpoints(const StoreSnapshot& snapshot, bool complete) {
  std::set<std::string> present;
  for (const StoredObject& object : snapshot.objects) {
    if (object.deleted) {
      this->cluster->EndpointMissing(object.name);
      continue;
    }
    const auto record = this->registry->DecodeEndpoint(object);
    if (!record) {
      Log(LogLevel::kWarn, "registry entry ignored: it names no usable endpoint",
          {{"name", object.name}, {"revision", object.revision}});
      continue;
    }
    present.insert(record->id);
    this->cluster->ApplyEndpoint(*record);
  }
  if (!complete) {
    return;
  }
  for (auto& [service, group] : this->cluster->groups()) {
    for (auto& [id, pool] : group->members) {
      if (!present.contains(id)) {
        this->cluster->EndpointMissing(id);
      }
    }
  }
}

void StoreSync::ApplyClaims(const StoreSnapshot& snapshot) {
  for (const StoredObject& object : snapshot.objects) {
    if (object.deleted) {
      continue;
    }
    try {
      this->cluster->EnsureGroup(object.name)
          ->OnClaim(DecodeTakeoverClaim(object.value, object.revision));
    } catch (const std::exception& error) {
      Log(LogLevel::kError, "takeover claim ignored",
          {{"service", object.name}, {"cause", error.what()}});
    }
  }
}

asio::awaitable<void> StoreSync::CountDaemons() {
  struct Seen {
    uint64_t revision = 0;
    TimePoint since;
  };
  std::map<std::string, Seen> seen;
  TimePoint renewed;
  for (uint64_t round = 0; !this->leaving; ++round) {
    try {
      if (round == 0 || BootNow() - renewed >= kCountInterval) {
        std::string entry = EncodeDaemonEntry(this->self, round);
        co_await this->store->Set(kDaemonKind, this->self.daemon, std::move(entry));
        renewed = BootNow();
      }
      const StoreSnapshot snapshot = co_await this->store->List(kDaemonKind, true);
      const TimePoint now = BootNow();
      std::vector<Peer> live;
      for (const StoredObject& object : snapshot.objects) {
        Seen& entry = seen[object.name];
        if (entry.revision != object.revision) {
          entry = {object.revision, now};
        }
        if (now - entry.since < kDaemonLapse) {
          live.push_back(DecodeDaemonEntry(object.name, object.value));
        }
      }
      this->cluster->SetPeers(std::move(live));
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kInfo, "daemons not counted", {{"cause", error.what()}});
    }
    co_await Pause(round < kFirstCounts.size() ? kFirstCounts[round] : kCountInterval);
  }
}

void StoreSync::Remember(const std::string& kind, const StoreSnapshot& snapshot) {
  for (const StoredObject& object : snapshot.objects) {
    const std::string key = kind + "/" + object.name;
    if (object.deleted) {
      this->known.erase(key);
    } else if (this->known[key].revision <= object.revision) {
      this->known[key] = {kind, object.name, object.revision, object.value};
    }
  }
}

void StoreSync::Attach(PeerNetwork* network) {
  network->SetHandler(kSyncMessage,
                      [this](std::string, PeerMessage) -> asio::awaitable<PeerMessage> {
                        std::vector<SyncObject> objects;
                        for (const auto& [key, object] : this->known) {
                          objects.push_back(object);
                        }
                        std::string body = EncodeSyncObjects(objects);
                        co_return PeerMessage(kSyncMessage, std::move(body));
                      });
}

asio::awaitable<void> StoreSync::SyncWithPeers() {
  RandomEngine random(std::random_device{}());
  for (;;) {
    co_await Pause(kPeerSyncInterval);
    PeerNetwork* network = this->cluster->relays().peers();
    const std::vector<Peer>& peers = this->cluster->relays().plan().peers();
    if (this->store_reachable || network == nullptr || peers.size() < 2) {
      continue;
    }
    const Peer peer = peers[RandomBelow(&random, peers.size())];
    if (peer.daemon == this->self.daemon) {
      continue;
    }
    try {
      PeerMessage question(kSyncMessage, std::string());
      const PeerMessage answer =
          co_await network->Call(peer.address, std::move(question), kPeerSyncLimit);
      std::map<std::string, StoreSnapshot> news;
      for (SyncObject& object : DecodeSyncObjects(answer.body)) {
        const auto own = this->known.find(object.kind + "/" + object.name);
        if (own == this->known.end() || own->second.revision < object.revision) {
          news[object.kind].objects.push_back({object.name, object.revision, object.value, false});
        }
      }
      for (const auto& [kind, snapshot] : news) {
        this->Remember(kind, snapshot);
        Log(LogLevel::kInfo, "learnt from a peer",
            {{"peer", peer.daemon}, {"kind", kind}, {"objects", snapshot.objects.size()}});
        if (kind == this->registry->routes_kind()) {
          this->ApplyRoutes(snapshot);
        } else if (kind == this->registry->endpoint_kind()) {
          this->ApplyEndpoints(snapshot, false);
        } else if (kind == kTakeoverKind) {
          this->ApplyClaims(snapshot);
        }
      }
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kDebug, "peer not asked", {{"peer", peer.daemon}, {"cause", error.what()}});
    }
  }
}

asio::awaitable<void> StoreSync::Leave() {
  this->leaving = true;
  try {
    co_await this->store->Remove(kDaemonKind, this->self.daemon);
  } catch (const StoreError& error) {
    Log(LogLevel::kInfo, "daemon entry not removed", {{"cause", error.what()}});
  }
}

}  // namespace poplarmoor
