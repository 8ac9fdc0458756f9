#include "session/store_sync.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>

#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/daemon_entry.h"
#include "session/object_store.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Interval at which a daemon lists the entries of all daemons in the store. The number of daemons
// changes rarely and affects only how they share the connections to endpoints.
constexpr Duration kDaemonListInterval = 15s;
// Interval at which a daemon renews its entry in the object store. It may be long: the entry of
// a daemon that is gone expires only after several intervals, but the other daemons stop sending
// statements to that daemon long before.
constexpr Duration kEntryRenewInterval = 45s;
// A daemon counts as gone when its entry has not been renewed for this many renewal intervals.
constexpr int kExpiryIntervals = 3;
// All daemons list a daemon at the latest this time after it wrote its entry: two list intervals,
// and 15 s for listings that may be old and for busy daemons.
constexpr Duration kListedAfter = 45s;
// After its start, a daemon lists the daemons' entries several times at these intervals. They are
// short because the first listings miss daemons that start at the same time.
constexpr std::array<Duration, 3> kInitialListIntervals{1s, 2s, 4s};
// A daemon lists the daemons' entries at one interval and renews its own entry at another. Each of
// the two intervals is at least this time multiplied by the number of daemons, which bounds the
// rate at which all daemons of a large fleet together call the store.
constexpr Duration kListIntervalPerDaemon = 400ms;
// When the store was restored, each daemon waits for a random time before it looks for what it has
// written; this time multiplied by the number of daemons is the longest wait.
constexpr Duration kRestoreJitterPerDaemon = 10ms;
// Pause before a failed write to a restored store is tried again.
constexpr Duration kRewriteRetryDelay = 1s;

// Time by this VM's clock, to compare with what an earlier process of the same daemon has written.
int64_t WallClockMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

// -----------------------------------------------------------------------------
// A store that was restored from a copy

void StoreSync::NoteEra(const std::string& kind, StoreRevision seen) {
  if (this->era && seen.era <= *this->era) {
    return;
  }
  const std::optional<uint64_t> previous = this->era;
  this->era = seen.era;
  if (!previous) {
    return;
  }
  Log(LogLevel::kWarn, "store restored from a copy, listing all kinds again",
      {{"kind", kind},
       {"era", seen.era},
       {"previous_era", *previous},
       {"revision", seen.number},
       {"previous_revision", this->kinds.contains(kind) ? this->kinds[kind]->revision.number : 0}});
  for (const auto& [name, other] : this->kinds) {
    // A kind that waits, in a watch call or before a retry, would notice the restore too late.
    if (name != kind && (other->watching || !other->reachable)) {
      SpawnTask(this->executor, "list a kind again", this->ListAgain(other));
    }
  }
  SpawnTask(this->executor, "write kept objects again", this->RewriteKeptObjects());
  this->restored.NotifyAll();
}

Duration StoreSync::RestoreJitter() {
  const size_t daemon_count = this->cluster->relays().plan().size();
  return RandomDuration(&this->random, daemon_count * kRestoreJitterPerDaemon);
}

void StoreSync::KeepObject(std::string kind, std::string name, std::string value) {
  this->kept_objects.push_back({std::move(kind), std::move(name), std::move(value)});
}

asio::awaitable<void> StoreSync::RewriteKeptObjects() {
  const std::vector<KeptObject> objects = this->kept_objects;
  co_await Pause(this->RestoreJitter());
  for (const KeptObject& object : objects) {
    for (bool done = false; !done && !this->leaving;) {
      try {
        const auto stored = co_await this->store->Get(object.kind, object.name, false);
        if (!stored) {
          co_await this->store->Put(object.kind, object.name, object.value, 0);
          Log(LogLevel::kInfo, "object written again to the restored store",
              {{"kind", object.kind}, {"name", object.name}});
        } else if (stored->value != object.value) {
          Log(LogLevel::kError, "the restored store has another object than the one in use",
              {{"kind", object.kind}, {"name", object.name}});
        }
        done = true;
      } catch (const StoreError& error) {
        // After a conflict, the next read returns what another daemon has written.
        Log(LogLevel::kInfo, "cannot write an object again to the restored store",
            {{"kind", object.kind}, {"name", object.name}, {"cause", error.what()}});
      }
      if (!done) {
        co_await Pause(kRewriteRetryDelay);
      }
    }
  }
}

// -----------------------------------------------------------------------------
// Entries of the daemons

asio::awaitable<void> StoreSync::TrackDaemons() {
  // What the listings of the store have shown of one daemon's entry in the store.
  struct Seen {
    StoreRevision revision;  // Newest revision of the daemon's entry.
    TimePoint since;         // Time of the first listing that contained the newest revision.
  };
  std::map<std::string, Seen> seen;
  std::optional<TimePoint> last_renewal;
  std::optional<uint64_t> tracked_era;  // Era of the last listing.
  // Daemons that were known when the store was restored. Each of them writes its entry again if the
  // restored store lacks it, so none counts as gone because of the first listings.
  std::vector<Peer> before_restore;
  std::vector<Peer> live;
  uint64_t beat = 0;
  for (uint64_t round = 0; !this->leaving; ++round, ++beat) {
    const size_t daemon_count = this->cluster->relays().plan().size();
    const Duration scaled_interval = daemon_count * kListIntervalPerDaemon;
    const Duration renewal_interval = std::max(kEntryRenewInterval, scaled_interval);
    const bool is_restored = tracked_era && tracked_era < this->era;
    if (is_restored) {
      round = 0;
      before_restore = live;
    } else if (round >= kInitialListIntervals.size()) {
      before_restore.clear();
    }
    try {
      const StoreSnapshot snapshot = co_await this->store->List(kDaemonKind, !is_restored);
      this->NoteEra(kDaemonKind, snapshot.revision);
      const bool is_outdated = snapshot.revision.era < *this->era;
      const bool is_new_era = tracked_era && tracked_era < snapshot.revision.era;
      if (!is_outdated && is_new_era == is_restored) {
        tracked_era = snapshot.revision.era;
        const TimePoint now = BootNow();
        std::set<std::string> listed;
        std::optional<StoredObject> own;
        live.clear();
        for (const StoredObject& object : snapshot.objects) {
          listed.insert(object.name);
          if (object.name == this->self.daemon) {
            own = object;
          }
          Seen& entry = seen[object.name];
          if (entry.revision != object.revision) {
            entry = {object.revision, now};
          }
          if (now - entry.since < kExpiryIntervals * renewal_interval) {
            try {
              live.push_back(DecodeDaemonEntry(object.name, object.value));
            } catch (const std::runtime_error& error) {
              Log(LogLevel::kWarn, "daemon entry ignored",
                  {{"name", object.name},
                   {"revision", object.revision.ToText()},
                   {"cause", error.what()}});
            }
          }
        }
        for (const Peer& peer : before_restore) {
          if (!listed.contains(peer.daemon)) {
            live.push_back(peer);
          }
        }
        this->cluster->SetPeers(live);
        const bool is_due = !last_renewal || now - *last_renewal >= renewal_interval;
        if (is_due || (is_restored && !own)) {
          EntryWrite write;
          // Others that know of slightly fewer daemons count with a shorter renewal interval.
          write.validity = kExpiryIntervals * renewal_interval - kDaemonListInterval;
          write.listed_after = std::max<Duration>(kListedAfter, 3 * scaled_interval / 2);
          co_await this->WriteDaemonEntry(beat, std::move(own), write);
          last_renewal = BootNow();
        }
      }
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kInfo, "cannot list the daemons or renew this daemon's entry",
          {{"cause", error.what()}});
    }
    const bool must_relist = tracked_era && tracked_era < this->era;
    Duration pause = std::max(kDaemonListInterval, scaled_interval);
    if (must_relist) {
      pause = kInitialListIntervals.front();
    } else if (round < kInitialListIntervals.size()) {
      pause = kInitialListIntervals[round];
    }
    const bool restored_now = co_await this->restored.Wait(pause);
    if (restored_now) {
      co_await Pause(this->RestoreJitter());
    }
  }
}

asio::awaitable<void> StoreSync::WriteDaemonEntry(uint64_t renewal_count,
                                                  std::optional<StoredObject> listed,
                                                  EntryWrite write) {
  write.sent = BootNow();
  const int64_t written_ms = WallClockMillis();
  std::string entry = EncodeDaemonEntry(this->self, renewal_count, written_ms);
  // After a restart, the others still know this daemon if its entry is young and has not been
  // removed since the listing, which may be some seconds old. The first write therefore demands
  // the revision that was listed.
  uint64_t expected = 0;
  if (listed && !this->entry_written) {
    const int64_t age_ms = written_ms - EntryWriteTime(listed->value);
    const bool is_young = age_ms >= 0 && age_ms < ToMillis(write.validity);
    expected = is_young ? listed->revision.number : 0;
  }
  bool written = false;
  if (!listed || expected > 0) {
    try {
      co_await this->store->Put(kDaemonKind, this->self.daemon, entry, expected);
      written = true;
    } catch (const StoreError& error) {
      if (error.failure != StoreFailure::kConflict) {
        throw;
      }
    }
    // Conflict: the store has another entry than the listing, for example one that this daemon
    // wrote before a restart. The entry is overwritten below.
  }
  if (!written) {
    co_await this->store->Set(kDaemonKind, this->self.daemon, std::move(entry));
  }
  write.known = this->entry_written || (written && expected > 0);
  this->entry_written = true;
  if (this->entry_observer) {
    this->entry_observer(write);
  }
}

asio::awaitable<void> StoreSync::RemoveDaemonEntry() {
  this->leaving = true;
  try {
    co_await this->store->Remove(kDaemonKind, this->self.daemon);
  } catch (const StoreError& error) {
    Log(LogLevel::kInfo, "cannot remove the daemon entry", {{"cause", error.what()}});
  }
}

}  // namespace poplarmoor
