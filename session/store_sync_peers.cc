#include "session/store_sync.h"

#include <algorithm>
#include <optional>

#include "net/peer_network.h"
#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/evidence_exchange.h"
#include "telemetry/log.h"
#include "wire/relay_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Highest number of random peers that this daemon asks for changes after it could read them neither
// from a watcher nor from the store.
constexpr int kPeersPerRound = 3;
// Number of peers that a daemon asks one after the other for a younger copy. With the interval of
// the queries, this bounds a daemon's calls whatever the size of the fleet; see ChangeSchedule.
constexpr size_t kSourcesPerQuery = 2;
// Largest number of such queries without an answer, and the time limit of each.
constexpr size_t kMaxQueries = 6;
constexpr Duration kQueryTimeout = 1s;
// Number of reachable daemons among which these peers are chosen. They are the first ones in the
// rendezvous order, so that a daemon needs few connections. Copies still reach every daemon: the
// probability that a daemon is no source of any other one is about e^-12.
constexpr size_t kCopySources = 12;

}  // namespace

// -----------------------------------------------------------------------------
// Changes from and for other daemons

asio::awaitable<bool> StoreSync::SyncFromWatchers(std::shared_ptr<KindState> kind) {
  // How long a watcher may wait for a change before it answers. After one watcher has failed, the
  // next ones are asked to answer immediately: waiting for several silent watchers in a row would
  // exceed the time bound of a change.
  const TimePoint started = BootNow();
  Duration wait = kind->schedule.FollowWait();
  const GatewayPlan& plan = this->cluster->relays().plan();
  const bool standby_watchers = plan.HasStandbyWatchers();
  std::vector<Peer> watchers = plan.WatchersToFollow();
  // The watcher that answered last time is asked first, with the full wait. If the others were
  // asked first each time, immediate answers of two watchers would follow each other without any
  // pause. Standby watchers have an older copy than the first watcher, which is always asked first.
  const auto last = std::find_if(watchers.begin(), watchers.end(), [&kind](const Peer& watcher) {
    return watcher.daemon == kind->source;
  });
  if (last != watchers.end() && !standby_watchers) {
    std::rotate(watchers.begin(), last, watchers.end());
  }
  for (const Peer& watcher : watchers) {
    if (this->cluster->relays().health().IsLost(watcher)) {
      continue;
    }
    const PeerCallKind call_kind =
        wait > Duration{} ? PeerCallKind::kLongPoll : PeerCallKind::kRepeatable;
    const bool succeeded = co_await this->SyncFromPeer(
        kind, watcher, wait, ChangeSchedule::kPeerAnswerTimeout, call_kind);
    if (succeeded) {
      kind->source = watcher.daemon;
      co_return true;
    }
    // A first watcher that has lost the store says so at once, and a standby watcher is then asked
    // to wait for what is left of the time.
    const Duration left = kind->schedule.FollowWait() - (BootNow() - started);
    wait = standby_watchers ? std::max(left, Duration{}) : Duration{};
  }
  co_return false;
}

asio::awaitable<void> StoreSync::SyncFromPeers(std::shared_ptr<KindState> kind) {
  for (int number = 0; number < kPeersPerRound; ++number) {
    // This daemon has got the changes to objects of this kind neither from a watcher nor from the
    // store, so it asks a random peer for them: the peer may reach the store or may have newer
    // objects than this daemon.
    const std::vector<Peer>& peers = this->cluster->relays().plan().Peers();
    const Peer peer = peers[RandomBelow(&this->random, peers.size())];
    if (peer.daemon == this->self.daemon || this->cluster->relays().health().IsLost(peer)) {
      continue;
    }
    const bool up_to_date = co_await this->SyncFromPeer(
        kind, peer, Duration{}, ChangeSchedule::kPeerAnswerTimeout, PeerCallKind::kRepeatable);
    if (up_to_date) {
      co_return;
    }
  }
}

asio::awaitable<bool> StoreSync::SyncFromPeer(std::shared_ptr<KindState> kind,
                                              Peer peer,
                                              Duration wait,
                                              Duration limit,
                                              PeerCallKind call_kind) {
  SyncRequest request;
  request.kind = kind->name;
  request.since = kind->revision;
  request.wait_us = static_cast<uint64_t>(wait.count());
  std::string body = EncodeSyncRequest(request);
  PeerMessage query(kSyncMessage, std::move(body));
  const TimePoint sent = BootNow();
  try {
    const PeerMessage message = co_await this->cluster->relays().peers()->Call(
        peer.address, std::move(query), std::chrono::milliseconds(ToMillis(wait + limit)),
        call_kind);
    const SyncAnswer answer = DecodeSyncAnswer(message.body);
    RecordEvidence(this->cluster, answer.evidence,
                   sent + Duration(static_cast<int64_t>(answer.held_us)));
    StoreSnapshot snapshot;
    snapshot.revision = answer.revision;
    for (const SyncObject& object : answer.objects) {
      snapshot.objects.push_back({object.name, object.revision, object.value, object.deleted});
    }
    if (answer.revision > kind->revision) {
      this->NoteEra(kind->name, answer.revision);
      this->Merge(kind.get(), snapshot, answer.complete, peer.daemon);
      if (!answer.reachable) {
        Log(LogLevel::kInfo, "changes read from a peer that cannot reach the store",
            {{"peer", peer.daemon}, {"kind", kind->name}, {"revision", answer.revision.ToText()}});
      }
    }
    PeerCopy copy;
    copy.daemon = peer.daemon;
    copy.sent = sent;
    copy.held = Duration(static_cast<int64_t>(answer.held_us));
    copy.reachable = answer.reachable;
    copy.silence = Duration(static_cast<int64_t>(answer.age_us));
    const auto verified = VerifiedTime(sent, answer.verified_age_us);
    // A copy of an earlier era was not merged: what it claims does not hold for the restored store.
    if (verified && answer.revision.era == kind->revision.era) {
      copy.age = sent - *verified;
    }
    const bool usable = kind->age->NotePeerAnswer(copy, BootNow());
    this->NoteYounger(kind.get());
    if (answer.reachable && !usable && kind->reachable) {
      Log(LogLevel::kInfo, "a peer's copy of the store is too old",
          {{"peer", peer.daemon}, {"kind", kind->name}, {"age_ms", ToMillis(copy.silence)}});
    }
    co_return usable;
  } catch (const PeerError& error) {
    Log(LogLevel::kInfo, "cannot read changes from a peer",
        {{"peer", peer.daemon}, {"kind", kind->name}, {"cause", error.what()}});
    this->cluster->relays().NoteLost(peer);
  } catch (const std::runtime_error& error) {
    Log(LogLevel::kInfo, "cannot read changes from a peer",
        {{"peer", peer.daemon}, {"kind", kind->name}, {"cause", error.what()}});
  }
  co_return false;
}

void StoreSync::Attach(PeerNetwork* network) {
  network->SetUrgent(kSyncMessage);
  network->SetHandler(kSyncMessage, [this](std::string, PeerMessage message) {
    return this->HandleSyncRequest(std::move(message));
  });
}

asio::awaitable<PeerMessage> StoreSync::HandleSyncRequest(PeerMessage message) {
  const TimePoint arrived = BootNow();
  const SyncRequest request = DecodeSyncRequest(message.body);
  SyncAnswer answer;
  const auto found = this->kinds.find(request.kind);
  if (found != this->kinds.end()) {
    const std::shared_ptr<KindState> kind = found->second;
    const TimePoint deadline = BootNow() + Duration(static_cast<int64_t>(request.wait_us));
    const std::optional<TimePoint> known = kind->age->Verified();
    // Followers of a kind with API keys learn of each verification without waiting for a change.
    const auto is_verified_again = [&kind, &known] {
      const std::optional<TimePoint> verified = kind->age->Verified();
      return kind->schedule.HasKeys() && verified &&
             (!known || *verified - *known >= kind->schedule.VerificationStep());
    };
    while (kind->reachable && kind->revision <= request.since && !is_verified_again()) {
      const Duration wait = kind->schedule.AnswerWait(deadline - BootNow(), kind->Silence());
      if (wait == Duration{}) {
        break;
      }
      co_await kind->changed.Wait(wait);
    }
    answer.reachable = kind->reachable && kind->revision.Exists();
    answer.revision = kind->revision;
    answer.verified_age_us = ToVerifiedAge(kind->Age());
    answer.age_us = static_cast<uint64_t>(kind->Silence().count());
    answer.complete = request.since < kind->listed_at;
    for (const auto& [name, object] : kind->objects) {
      if (answer.complete ? !object.deleted : object.revision > request.since) {
        answer.objects.push_back({name, object.revision, object.value, object.deleted});
      }
    }
  }
  const TimePoint now = BootNow();
  answer.held_us = static_cast<uint64_t>((now - arrived).count());
  answer.evidence = CollectEvidence(this->cluster, now);
  std::string body = EncodeSyncAnswer(answer);
  co_return PeerMessage(kSyncMessage, std::move(body));
}

asio::awaitable<void> StoreSync::SeekYoungerCopies(std::shared_ptr<KindState> kind) {
  for (;;) {
    co_await Pause(kind->schedule.QueryInterval());
    if (this->cluster->relays().peers() == nullptr || !kind->NeedsYoungerCopy()) {
      continue;
    }
    for (const Peer& peer : this->CopySources(kind.get())) {
      if (kind->queried.size() < kMaxQueries && kind->queried.insert(peer.daemon).second) {
        SpawnTask(this->executor, "ask a peer for a younger copy", this->QueryPeer(kind, peer),
                  [kind, peer] { kind->queried.erase(peer.daemon); });
      }
    }
  }
}

asio::awaitable<void> StoreSync::QueryPeer(std::shared_ptr<KindState> kind, Peer peer) {
  const std::optional<TimePoint> known = kind->age->Verified();
  // The call goes on while the peer is silent: behind a full link the answer comes late, and it
  // still tells a copy's age correctly.
  co_await this->SyncFromPeer(kind, peer, Duration{}, kQueryTimeout, PeerCallKind::kNonRepeatable);
  if (kind->age->Verified() > known) {
    kind->copy_source = peer.daemon;
  }
}

std::vector<Peer> StoreSync::CopySources(KindState* kind) {
  std::vector<Peer> reachable;
  std::vector<Peer> lost;
  for (Peer& peer : this->cluster->relays().plan().OtherDaemons(kind->name, std::string())) {
    auto& list = this->cluster->relays().health().IsLost(peer) ? lost : reachable;
    if (list.size() < kCopySources) {
      list.push_back(std::move(peer));
    }
  }
  if (reachable.size() < kSourcesPerQuery) {
    // Peers also seem lost to a daemon whose own link is full.
    reachable.insert(reachable.end(), lost.begin(), lost.end());
  }
  std::vector<Peer> sources;
  const auto take = [&reachable, &sources](size_t place) {
    sources.push_back(reachable[place]);
    reachable.erase(reachable.begin() + static_cast<std::ptrdiff_t>(place));
  };
  const auto last = std::find_if(reachable.begin(), reachable.end(), [kind](const Peer& peer) {
    return peer.daemon == kind->copy_source;
  });
  if (last != reachable.end()) {
    take(static_cast<size_t>(last - reachable.begin()));
  }
  while (sources.size() < kSourcesPerQuery && !reachable.empty()) {
    take(kind->next_source++ % reachable.size());
  }
  return sources;
}

}  // namespace poplarmoor
