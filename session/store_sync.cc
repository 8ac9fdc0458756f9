#include "session/store_sync.h"

#include <algorithm>
#include <optional>
#include <random>
#include <set>

#include "kernel/random.h"
#include "session/background_task.h"
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

// Delay before a failed store call is retried. Each further failure doubles the delay up to the
// maximum. Random jitter is added so that the daemons do not retry at the same time.
constexpr Duration kInitialRetryDelay = 100ms;
constexpr Duration kMaxRetryDelay = 1s;
// Longest time that a watch call to the store waits for a change when the previous attempt to read
// changes has failed, or when the copy is old: its age falls only with the answer.
constexpr std::chrono::milliseconds kUrgentWatchWait{200};
// Maximum delay after which a daemon that does not watch the store tries again to read changes.
// Such a daemon usually learns from other daemons that the store is reachable again.
constexpr Duration kMaxFollowerRetryDelay = 3s;
// After its start, a daemon waits up to this time to learn of other daemons before it watches the
// store: in a large fleet only a few daemons watch it.
constexpr Duration kPeerDiscoveryTimeout = 3s;
constexpr Duration kPeerDiscoveryPoll = 100ms;

}  // namespace

StoreSync::StoreSync(asio::any_io_executor executor,
                     ObjectStore* store,
                     const RegistryCodec* registry,
                     Cluster* cluster,
                     Peer self,
                     ApplyBounds bounds,
                     std::optional<std::chrono::milliseconds> revocation_bound)
    : executor(executor),
      store(store),
      registry(registry),
      cluster(cluster),
      self(std::move(self)),
      bounds(bounds),
      revocation_bound(revocation_bound),
      store_recovered(executor),
      restored(std::move(executor)),
      random(std::random_device{}()) {}

std::optional<Duration> StoreSync::KindState::Age() const {
  return this->age->Age(BootNow());
}

Duration StoreSync::KindState::Silence() const {
  return this->age->Silence(BootNow()).value_or(std::chrono::hours(24));
}

bool StoreSync::KindState::NeedsYoungerCopy() const {
  return this->age->NeedsYoungerCopy(BootNow());
}

int64_t StoreSync::KindState::LoggedAge() const {
  const auto copy_age = this->Age();
  return copy_age ? ToMillis(*copy_age) : -1;
}

void StoreSync::Start() {
  const auto start_sync = [this](std::string name, Duration bound, Apply apply) {
    const bool is_configuration = name == this->registry->routes_kind();
    const ChangeSchedule schedule =
        is_configuration ? ChangeSchedule::ForConfiguration(bound, this->revocation_bound)
                         : ChangeSchedule(bound);
    auto kind = std::make_shared<KindState>(name, schedule, std::move(apply),
                                            WaitList(this->executor), BootNow());
    this->kinds[name] = kind;
    if (is_configuration) {
      // A stale listing may hold keys that were withdrawn before this daemon started.
      kind->stale_ok = !this->revocation_bound;
      this->cluster->configuration().SetAge(kind->age);
      SpawnService(this->executor, "seek younger copies of " + name,
                   [this, kind] { return this->SeekYoungerCopies(kind); });
    }
    SpawnService(this->executor, "read changes of " + name,
                 [this, kind] { return this->SyncKind(kind); });
  };
  start_sync(this->registry->routes_kind(), this->bounds.routes,
             [this](const StoreSnapshot& snapshot, bool, std::optional<TimePoint>) {
               this->ApplyRoutes(snapshot);
             });
  start_sync(this->registry->endpoint_kind(), this->bounds.endpoints,
             [this](const StoreSnapshot& snapshot, bool complete,
                    std::optional<TimePoint> unchanged_until) {
               this->ApplyEndpoints(snapshot, complete, unchanged_until);
             });
  // Commits can be confirmed over connections that are older than the last confirmed copy of the
  // claims, so this copy is confirmed as often as that of the endpoints.
  start_sync(kTakeoverKind, this->bounds.endpoints,
             [this](const StoreSnapshot& snapshot, bool complete, std::optional<TimePoint>) {
               this->ApplyClaims(snapshot, complete);
             });
  SpawnService(this->executor, "track the daemons", [this] { return this->TrackDaemons(); });
}

// -----------------------------------------------------------------------------
// Reading changes

asio::awaitable<void> StoreSync::SyncKind(std::shared_ptr<KindState> kind) {
  Duration retry = kInitialRetryDelay;
  const TimePoint started = BootNow();
  for (;;) {
    const GatewayPlan& plan = this->cluster->relays().plan();
    const bool has_peers = this->cluster->relays().peers() != nullptr && plan.size() > 1;
    const bool discovering_peers = plan.size() == 1 && BootNow() - started < kPeerDiscoveryTimeout;
    const bool may_wait = !kind->schedule.HasKeys() || !kind->NeedsYoungerCopy();
    if (discovering_peers && kind->revision.Exists() && may_wait) {
      co_await Pause(kPeerDiscoveryPoll);
      continue;
    }
    const bool follows_watchers = has_peers && !plan.WatchersToFollow().empty();
    bool succeeded = false;
    if (follows_watchers) {
      succeeded = co_await this->SyncFromWatchers(kind);
    }
    if (!succeeded && this->MayCallStore(*kind)) {
      succeeded = co_await this->SyncFromStore(kind);
      this->retrying_kind = succeeded ? nullptr : kind.get();
    } else if (!succeeded) {
      Log(LogLevel::kInfo, "store not called: another kind retries",
          {{"kind", kind->name},
           {"retrying", this->retrying_kind->name},
           {"copy_age_ms", kind->LoggedAge()}});
    }
    if (succeeded) {
      if (!kind->reachable) {
        this->store_recovered.NotifyAll();
      }
      kind->reachable = true;
      retry = kInitialRetryDelay;
      continue;
    }
    kind->reachable = false;
    if (has_peers) {
      co_await this->SyncFromPeers(kind);
    }
    // Calls to an unreachable store are retried for only one object kind at a time. The calls for
    // the other kinds wait until such a retry succeeds.
    const Duration pause = retry + RandomDuration(&this->random, retry);
    if (this->retrying_kind == kind.get()) {
      co_await Pause(pause);
    } else if (co_await this->store_recovered.Wait(pause)) {
      retry = kInitialRetryDelay;
      continue;
    }
    const bool may_pause = follows_watchers && !kind->NeedsYoungerCopy();
    retry = std::min(retry * 2, may_pause ? kMaxFollowerRetryDelay : kMaxRetryDelay);
  }
}

bool StoreSync::MayCallStore(const KindState& kind) const {
  return this->retrying_kind == nullptr || this->retrying_kind == &kind ||
         kind.schedule.LimitsUse();
}

asio::awaitable<bool> StoreSync::SyncFromStore(std::shared_ptr<KindState> kind) {
  std::string cause;
  const TimePoint sent = BootNow();
  try {
    bool complete = !kind->revision.Exists() || kind->revision.era < this->era.value_or(0);
    if (!complete) {
      try {
        co_await this->WatchKind(kind);
      } catch (const StoreError& error) {
        kind->watching = false;
        complete = error.failure == StoreFailure::kHistoryGone;
        if (!complete) {
          throw;
        }
      }
      if (complete) {
        Log(LogLevel::kInfo, "store history gone, listing again",
            {{"kind", kind->name}, {"revision", kind->revision.ToText()}});
        kind->revision = {};
      }
    }
    if (complete) {
      // Listed before the other kinds go on: only an answer tells whether the store was restored.
      co_await this->ListKind(kind);
    }
    co_return true;
  } catch (const StoreError& error) {
    cause = error.what();
  }
  kind->age->NoteStoreFailure(sent);
  const bool was_reachable = kind->reachable;
  Log(was_reachable ? LogLevel::kWarn : LogLevel::kInfo,
      was_reachable ? "store lost" : "store still out of reach",
      {{"kind", kind->name}, {"cause", cause}, {"copy_age_ms", kind->LoggedAge()}});
  co_return false;
}

asio::awaitable<void> StoreSync::ListKind(std::shared_ptr<KindState> kind) {
  // The first listing after a start may be some seconds old: the watch that follows returns the
  // later changes.
  const bool stale_ok = kind->stale_ok;
  const TimePoint sent = BootNow();
  const StoreSnapshot snapshot = co_await this->store->List(kind->name, stale_ok);
  kind->stale_ok = false;
  this->NoteEra(kind->name, snapshot.revision);
  if (snapshot.revision.era < *this->era) {
    throw StoreError(StoreFailure::kRefused, "a listing of " + kind->name +
                                                 " is older than the store's latest restore: " +
                                                 snapshot.revision.ToText());
  }
  if (!kind->reachable) {
    Log(LogLevel::kInfo, "store regained",
        {{"kind", kind->name}, {"revision", snapshot.revision.ToText()}});
  }
  this->Merge(kind.get(), snapshot, true, stale_ok ? "stale_listing" : "listing");
  if (stale_ok) {
    kind->age->NoteStaleListing(BootNow());
  } else {
    kind->age->NoteStoreAnswer(sent, BootNow());
    this->NoteYounger(kind.get());
  }
}

asio::awaitable<void> StoreSync::ListAgain(std::shared_ptr<KindState> kind) {
  try {
    co_await this->ListKind(kind);
  } catch (const StoreError& error) {
    // SyncKind() lists the kind when its watch call has ended.
    Log(LogLevel::kInfo, "cannot list a kind of the restored store",
        {{"kind", kind->name}, {"cause", error.what()}});
  }
}

asio::awaitable<void> StoreSync::WatchKind(std::shared_ptr<KindState> kind) {
  // While the store is unreachable, a short wait leaves time to call peers.
  const bool all_watch = this->cluster->relays().plan().EveryDaemonWatches();
  Duration wait = all_watch ? kind->schedule.WatchWait() : kind->schedule.WatcherWait();
  if (!kind->reachable || kind->NeedsYoungerCopy()) {
    wait = std::min<Duration>(wait, kUrgentWatchWait);
  }
  const StoreRevision since = kind->revision;
  kind->watching = true;
  const TimePoint sent = BootNow();
  const StoreSnapshot snapshot = co_await this->store->Watch(
      kind->name, since.number, std::chrono::milliseconds(ToMillis(wait)));
  kind->watching = false;
  this->NoteEra(kind->name, snapshot.revision);
  if (snapshot.revision.era < since.era) {
    throw StoreError(StoreFailure::kRefused,
                     "the answer to a watch of " + kind->name +
                         " is of an earlier era than the last one: " + snapshot.revision.ToText());
  }
  if (!kind->reachable) {
    Log(LogLevel::kInfo, "store regained",
        {{"kind", kind->name}, {"revision", snapshot.revision.ToText()}});
  }
  if (snapshot.revision.era == since.era && kind->revision.era == since.era) {
    this->Merge(kind.get(), snapshot, false, "watch");
    kind->age->NoteStoreAnswer(sent, BootNow());
    this->NoteYounger(kind.get());
    co_return;
  }
  // The store was restored since `since`: the number was given out again, and the answer lacks the
  // changes before it. SyncFromStore() lists the kind next, unless ListAgain() has done so.
  Log(LogLevel::kInfo, "watch ignored: it began before the store was restored",
      {{"kind", kind->name},
       {"since", since.ToText()},
       {"revision", snapshot.revision.ToText()},
       {"known_revision", kind->revision.ToText()}});
}

void StoreSync::NoteYounger(KindState* kind) {
  const std::optional<TimePoint> verified = kind->age->Verified();
  if (!verified) {
    return;
  }
  if (kind->name == this->registry->routes_kind()) {
    this->cluster->access().NoteVerified(*verified);
  }
  if (kind->name == kTakeoverKind) {
    this->cluster->NoteClaimsVerified(*verified);
  }
  if (kind->schedule.HasKeys()) {
    kind->changed.NotifyAll();
  }
}

void StoreSync::Merge(KindState* kind,
                      const StoreSnapshot& snapshot,
                      bool complete,
                      std::string_view source) {
  if (snapshot.revision < kind->revision) {
    return;  // A peer has sent later changes while the call was in progress.
  }
  if (kind->name == this->registry->routes_kind() && (complete || !snapshot.objects.empty())) {
    Log(LogLevel::kInfo, "configuration read",
        {{"source", source},
         {"revision", snapshot.revision.ToText()},
         {"previous_revision", kind->revision.ToText()},
         {"previous_age_ms", kind->LoggedAge()}});
  }
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
  // While this daemon was cut off from the store, the objects may have changed at any time since
  // the time until which its copy certainly held all changes.
  std::optional<TimePoint> unchanged_until;
  if (!kind->reachable) {
    unchanged_until = kind->age->UnchangedUntil();
  }
  kind->apply(snapshot, complete, unchanged_until);
  if (complete || !snapshot.objects.empty()) {
    kind->changed.NotifyAll();
  }
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
          {{"revision", object.revision.ToText()}, {"cause", error.what()}});
    }
  }
}

void StoreSync::ApplyEndpoints(const StoreSnapshot& snapshot,
                               bool complete,
                               std::optional<TimePoint> unchanged_until) {
  std::set<std::string> present;
  for (const StoredObject& object : snapshot.objects) {
    if (object.deleted) {
      this->cluster->MarkEndpointMissing(object.name);
      continue;
    }
    const auto record = this->registry->DecodeEndpoint(object);
    if (!record) {
      Log(LogLevel::kWarn,
          "registry entry ignored: it is malformed or describes no usable endpoint",
          {{"name", object.name}, {"revision", object.revision.ToText()}});
      continue;
    }
    present.insert(record->id);
    this->cluster->ApplyEndpoint(*record, unchanged_until);
  }
  if (!complete) {
    return;
  }
  for (auto& [service, group] : this->cluster->groups()) {
    for (auto& [id, pool] : group->members) {
      if (!present.contains(id)) {
        this->cluster->MarkEndpointMissing(id);
      }
    }
  }
}

void StoreSync::ApplyClaims(const StoreSnapshot& snapshot, bool complete) {
  std::set<std::string> present;
  for (const StoredObject& object : snapshot.objects) {
    if (object.deleted) {
      continue;
    }
    present.insert(object.name);
    try {
      this->cluster->ApplyClaim(DecodeTakeoverClaim(object.value, object.revision));
    } catch (const std::exception& error) {
      Log(LogLevel::kError, "takeover claim ignored",
          {{"service", object.name}, {"cause", error.what()}});
    }
  }
  for (auto& [service, group] : this->cluster->groups()) {
    if (complete && !present.contains(service)) {
      group->ForgetClaim(snapshot.revision);
    }
  }
}

}  // namespace poplarmoor
