#include "session/store_sync.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
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
#include "wire/relay_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Longest wait of a watch whose delay no bound limits; below the usual history (20 s), so that the
// next watch mostly needs no new listing.
constexpr std::chrono::milliseconds kUnboundedWait{15000};
// A store that drops its history may leave a waiting watch without news, which only the next watch
// notices. The wait and the retries after it must fit into the bound.
constexpr double kWaitPerBound = 0.65;
// Others follow a watcher of a large fleet, and learn late that its watch has gone silent: it waits
// for this part of the usual time, so that their own steps fit into the bound as well.
constexpr double kFollowedWait = 0.45;
// Retry of a failed store call; the jitter keeps the daemons apart.
constexpr Duration kFirstRetry = 100ms;
constexpr Duration kMaxRetry = 1s;
constexpr std::chrono::milliseconds kRetryWait{200};
// Daemons that do not watch the store mostly learn from others that it is back.
constexpr Duration kMaxFollowerRetry = 3s;
// The daemon count changes rarely and only shifts the connection shares.
constexpr Duration kCountInterval = 15s;
// Statements go around daemons that are gone long before their entries lapse.
constexpr Duration kRenewInterval = 45s;
// An entry that has not been renewed for this time belongs to a daemon that is gone.
constexpr int kLapseIntervals = 3;
// The first listings after a start miss daemons that start at the same time.
constexpr std::array<Duration, 3> kFirstCounts{1s, 2s, 4s};
// After its start a daemon waits for this time to learn of the others before it watches the store:
// in a large fleet only a few do.
constexpr Duration kJoinLimit = 3s;
constexpr Duration kJoinPoll = 100ms;
// A daemon that does not watch the store asks a watcher again after this time, so that it soon
// notices a watcher that is gone.
constexpr Duration kPeerWait = 1s;
constexpr int kPeersAsked = 3;  // Peers that a daemon without the store asks in each round.
constexpr Duration kPeerAnswerLimit = 250ms;  // Beyond the wait.
// In a large fleet the entries are renewed less often, which bounds the store's writes.
constexpr Duration kCountIntervalPerDaemon = 400ms;

std::chrono::milliseconds WaitFor(std::chrono::milliseconds bound) {
  return std::chrono::milliseconds(static_cast<int64_t>(bound.count() * kWaitPerBound));
}

}  // namespace

StoreSync::StoreSync(asio::any_io_executor executor,
                     ObjectStore* store,
                     const RegistryCodec* registry,
                     Cluster* cluster,
                     Peer self,
                     ApplyBounds bounds)
    : executor(executor),
      store(store),
      registry(registry),
      cluster(cluster),
      self(std::move(self)),
      bounds(bounds),
      store_back(std::move(executor)),
      random(std::random_device{}()) {}

void StoreSync::Start() {
  const auto follow = [this](std::string name, std::chrono::milliseconds wait, Apply apply) {
    auto kind = std::make_shared<Kind>(name, wait, std::move(apply), WaitList(this->executor));
    this->kinds[name] = kind;
    asio::co_spawn(this->executor, this->Follow(std::move(kind)), asio::detached);
  };
  follow(this->registry->routes_kind(), WaitFor(this->bounds.routes),
         [this](const StoreSnapshot& snapshot, bool) { this->ApplyRoutes(snapshot); });
  follow(this->registry->endpoint_kind(), WaitFor(this->bounds.endpoints),
         [this](const StoreSnapshot& snapshot, bool complete) {
           this->ApplyEndpoints(snapshot, complete);
         });
  follow(kTakeoverKind, kUnboundedWait,
         [this](const StoreSnapshot& snapshot, bool) { this->ApplyClaims(snapshot); });
  asio::co_spawn(this->executor, this->CountDaemons(), asio::detached);
}

// -----------------------------------------------------------------------------
// Following changes

asio::awaitable<void> StoreSync::Follow(std::shared_ptr<Kind> kind) {
  Duration retry = kFirstRetry;
  const TimePoint started = BootNow();
  for (;;) {
    const GatewayPlan& plan = this->cluster->relays().plan();
    const bool has_peers = this->cluster->relays().peers() != nullptr && plan.size() > 1;
    const bool joining = plan.size() == 1 && BootNow() - started < kJoinLimit;
    if (joining && kind->revision != 0) {
      co_await Pause(kJoinPoll);
      continue;
    }
    const bool follows = has_peers && !plan.IsWatcher();
    bool succeeded = false;
    if (follows) {
      succeeded = co_await this->FollowWatchers(kind);
    }
    if (!succeeded && (this->store_tester == nullptr || this->store_tester == kind.get())) {
      succeeded = co_await this->FollowStore(kind);
      this->store_tester = succeeded ? nullptr : kind.get();
    }
    if (succeeded) {
      if (!kind->reachable) {
        this->store_back.NotifyAll();
      }
      kind->reachable = true;
      retry = kFirstRetry;
      continue;
    }
    kind->reachable = false;
    if (has_peers) {
      co_await this->AskPeers(kind);
    }
    // One kind at a time tries the lost store; the others wait for its success.
    const Duration pause = retry + RandomDuration(&this->random, retry);
    if (this->store_tester == kind.get()) {
      co_await Pause(pause);
    } else if (co_await this->store_back.Wait(pause)) {
      retry = kFirstRetry;
      continue;
    }
    retry = std::min(retry * 2, follows ? kMaxFollowerRetry : kMaxRetry);
  }
}

asio::awaitable<bool> StoreSync::FollowWatchers(std::shared_ptr<Kind> kind) {
  // After one watcher has failed, the others are only asked for what they know: a chain of waits
  // would exceed the bound of a change.
  Duration wait = kPeerWait;
  for (const Peer& watcher : this->cluster->relays().plan().Watchers()) {
    if (this->cluster->relays().health().IsLost(watcher)) {
      continue;
    }
    const bool succeeded = co_await this->FollowPeer(kind, watcher, wait);
    if (succeeded) {
      co_return true;
    }
    wait = Duration{};
  }
  co_return false;
}

asio::awaitable<void> StoreSync::AskPeers(std::shared_ptr<Kind> kind) {
  for (int number = 0; number < kPeersAsked; ++number) {
    // Another daemon may still reach the store.
    const std::vector<Peer>& peers = this->cluster->relays().plan().Peers();
    const Peer peer = peers[RandomBelow(&this->random, peers.size())];
    if (peer.daemon == this->self.daemon || this->cluster->relays().health().IsLost(peer)) {
      continue;
    }
    const bool told = co_await this->FollowPeer(kind, peer, Duration{});
    if (told) {
      co_return;
    }
  }
}

asio::awaitable<bool> StoreSync::FollowStore(std::shared_ptr<Kind> kind) {
  std::string cause;
  try {
    const bool complete = kind->revision == 0;
    StoreSnapshot snapshot;
    if (complete) {
      // Seconds-old objects will do after a start: the next call brings what is missing.
      snapshot = co_await this->store->List(kind->name, kind->listed_at == 0);
    } else {
      // Without the store, short tries leave time to ask the peers.
      auto wait = kind->reachable ? kind->wait : std::min(kind->wait, kRetryWait);
      if (!this->cluster->relays().plan().EveryoneWatches()) {
        wait = std::min(wait, std::chrono::milliseconds(
                                  static_cast<int64_t>(kind->wait.count() * kFollowedWait)));
      }
      snapshot = co_await this->store->Watch(kind->name, kind->revision, wait);
    }
    if (!kind->reachable) {
      Log(LogLevel::kInfo, "store regained",
          {{"kind", kind->name}, {"revision", snapshot.revision}});
    }
    this->Merge(kind.get(), snapshot, complete);
    co_return true;
  } catch (const StoreError& error) {
    if (error.failure == StoreFailure::kHistoryGone) {
      Log(LogLevel::kInfo, "store history gone, listing again", {{"kind", kind->name}});
      kind->revision = 0;
      co_return true;
    }
    cause = error.what();
  }
  if (kind->reachable) {
    Log(LogLevel::kWarn, "store lost", {{"kind", kind->name}, {"cause", cause}});
  }
  co_return false;
}

void StoreSync::Merge(Kind* kind, const StoreSnapshot& snapshot, bool complete) {
  if (complete) {
    kind->objects.clear();
    kind->listed_at = snapshot.revision;
  }
  for (const StoredObject& object : snapshot.objects) {
    StoredObject& known = kind->objects[object.name];
    known = object;
    if (object.deleted) {
      known.value.clear();
      known.revision = snapshot.revision;
    }
  }
  kind->revision = std::max(kind->revision, snapshot.revision);
  kind->apply(snapshot, complete);
  if (complete || !snapshot.objects.empty()) {
    kind->changed.NotifyAll();
  }
}

asio::awaitable<bool> StoreSync::FollowPeer(std::shared_ptr<Kind> kind, Peer peer, Duration wait) {
  SyncRequest request;
  request.kind = kind->name;
  request.since = kind->revision;
  request.wait_us = static_cast<uint64_t>(wait.count());
  std::string body = EncodeSyncRequest(request);
  PeerMessage question(kSyncMessage, std::move(body));
  try {
    const PeerMessage message = co_await this->cluster->relays().peers()->Call(
        peer.address, std::move(question),
        std::chrono::milliseconds(ToMillis(wait + kPeerAnswerLimit)),
        wait > Duration{} ? PeerCallKind::kLongPoll : PeerCallKind::kRepeatable);
    const SyncAnswer answer = DecodeSyncAnswer(message.body);
    StoreSnapshot snapshot;
    snapshot.revision = answer.revision;
    for (const SyncObject& object : answer.objects) {
      snapshot.objects.push_back({object.name, object.revision, object.value, object.deleted});
    }
    if (answer.revision > kind->revision) {
      this->Merge(kind.get(), snapshot, answer.complete);
      if (!answer.reachable) {
        Log(LogLevel::kInfo, "learnt from a peer without the store",
            {{"peer", peer.daemon}, {"kind", kind->name}, {"revision", answer.revision}});
      }
    }
    co_return answer.reachable;
  } catch (const PeerError& error) {
    Log(LogLevel::kInfo, "peer did not tell of changes",
        {{"peer", peer.daemon}, {"kind", kind->name}, {"cause", error.what()}});
    this->cluster->relays().NoteLost(peer);
  } catch (const std::runtime_error& error) {
    Log(LogLevel::kInfo, "peer did not tell of changes",
        {{"peer", peer.daemon}, {"kind", kind->name}, {"cause", error.what()}});
  }
  co_return false;
}

void StoreSync::Attach(PeerNetwork* network) {
  network->SetHandler(kSyncMessage, [this](std::string, PeerMessage message) {
    return this->OnSync(std::move(message));
  });
}

asio::awaitable<PeerMessage> StoreSync::OnSync(PeerMessage message) {
  const SyncRequest request = DecodeSyncRequest(message.body);
  SyncAnswer answer;
  const auto found = this->kinds.find(request.kind);
  if (found != this->kinds.end()) {
    const std::shared_ptr<Kind> kind = found->second;
    const TimePoint limit = BootNow() + Duration(static_cast<int64_t>(request.wait_us));
    while (kind->reachable && kind->revision <= request.since && BootNow() < limit) {
      co_await kind->changed.Wait(limit - BootNow());
    }
    answer.reachable = kind->reachable && kind->revision != 0;
    answer.revision = kind->revision;
    answer.complete = request.since < kind->listed_at;
    for (const auto& [name, object] : kind->objects) {
      if (answer.complete ? !object.deleted : object.revision > request.since) {
        answer.objects.push_back({name, object.revision, object.value, object.deleted});
      }
    }
  }
  std::string body = EncodeSyncAnswer(answer);
  co_return PeerMessage(kSyncMessage, std::move(body));
}

// -----------------------------------------------------------------------------
// Applying changes

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
  std::optional<TimePoint> renewed;
  for (uint64_t round = 0; !this->leaving; ++round) {
    const size_t fleet = this->cluster->relays().plan().size();
    const Duration stretch = fleet * kCountIntervalPerDaemon;
    const Duration renewal = std::max(kRenewInterval, stretch);
    try {
      const StoreSnapshot snapshot = co_await this->store->List(kDaemonKind, true);
      const TimePoint now = BootNow();
      std::vector<Peer> live;
      bool listed = false;
      for (const StoredObject& object : snapshot.objects) {
        listed = listed || object.name == this->self.daemon;
        Seen& entry = seen[object.name];
        if (entry.revision != object.revision) {
          entry = {object.revision, now};
        }
        if (now - entry.since < kLapseIntervals * renewal) {
          live.push_back(DecodeDaemonEntry(object.name, object.value));
        }
      }
      this->cluster->SetPeers(std::move(live));
      if (!renewed || now - *renewed >= renewal) {
        co_await this->StoreEntry(round, listed);
        renewed = BootNow();
      }
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kInfo, "daemons not counted", {{"cause", error.what()}});
    }
    const bool first = round < kFirstCounts.size();
    co_await Pause(first ? kFirstCounts[round] : std::max(kCountInterval, stretch));
  }
}

asio::awaitable<void> StoreSync::StoreEntry(uint64_t beat, bool listed) {
  std::string entry = EncodeDaemonEntry(this->self, beat);
  if (!listed) {
    try {
      co_await this->store->Put(kDaemonKind, this->self.daemon, entry, 0);
      co_return;
    } catch (const StoreError& error) {
      if (error.failure != StoreFailure::kConflict) {
        throw;
      }
    }
    // The listing was older than this daemon's previous entry.
  }
  co_await this->store->Set(kDaemonKind, this->self.daemon, std::move(entry));
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
