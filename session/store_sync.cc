#include "session/store_sync.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <set>

#include "kernel/random.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
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
constexpr char kDaemonKind[] = "daemons";

std::chrono::milliseconds WaitFor(std::chrono::milliseconds bound) {
  return std::chrono::milliseconds(static_cast<int64_t>(bound.count() * kWaitPerBound));
}

}  // namespace

StoreSync::StoreSync(ObjectStore* store,
                     const RegistryCodec* registry,
                     Cluster* cluster,
                     std::string daemon,
                     ApplyBounds bounds)
    : store(store),
      registry(registry),
      cluster(cluster),
      daemon(std::move(daemon)),
      bounds(bounds) {}

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
      retry = kFirstRetry;
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
  for (uint64_t beat = 1;; ++beat) {
    try {
      // An unconditional put renews the entry; its content has to change for that.
      co_await this->store->Set(kDaemonKind, this->daemon,
                                "{\"beat\":" + std::to_string(beat) + "}");
      const StoreSnapshot snapshot = co_await this->store->List(kDaemonKind, true);
      const TimePoint now = BootNow();
      uint32_t live = 0;
      for (const StoredObject& object : snapshot.objects) {
        Seen& entry = seen[object.name];
        if (entry.revision != object.revision) {
          entry = {object.revision, now};
        }
        live += now - entry.since < kDaemonLapse ? 1 : 0;
      }
      this->cluster->SetDaemonCount(live);
    } catch (const StoreError& error) {
      Log(LogLevel::kInfo, "daemons not counted", {{"cause", error.what()}});
    }
    co_await Pause(kCountInterval);
    if (this->leaving) {
      co_return;
    }
  }
}

asio::awaitable<void> StoreSync::Leave() {
  this->leaving = true;
  try {
    co_await this->store->Remove(kDaemonKind, this->daemon);
  } catch (const StoreError& error) {
    Log(LogLevel::kInfo, "daemon entry not removed", {{"cause", error.what()}});
  }
}

}  // namespace poplarmoor
