#include "session/store_sync.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <set>

#include "net/key_ring.h"
#include "net/peer_network.h"
#include "platform/line_codec.h"
#include "platform/platform_registry_codec.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/daemon_entry.h"
#include "tests/platform/memory_store.h"
#include "wire/relay_codec.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;

// Object store that counts the calls to it, with one counter each for listings that may be stale,
// for watches, and for calls that the platform charges in full. A watch never returns changes.
class CountingStore : public MemoryStore {
 public:
  asio::awaitable<StoreSnapshot> List(std::string kind, bool stale_ok) override {
    ++(stale_ok ? this->stale_lists : this->full_calls);
    StoreSnapshot snapshot = co_await MemoryStore::List(kind, stale_ok);
    if (this->outdated_lists) {
      this->kinds[kind].clear();
    }
    co_return snapshot;
  }

  asio::awaitable<StoreSnapshot> Watch(std::string kind,
                                       uint64_t since,
                                       std::chrono::milliseconds) override {
    ++this->watches;
    ++this->watches_of[kind];
    if (this->down || this->refused.contains(kind)) {
      throw StoreError(StoreFailure::kRefused, "the store is down");
    }
    if (this->history_gone.erase(kind) > 0) {
      throw StoreError(StoreFailure::kHistoryGone, "the history was discarded");
    }
    const TimePoint end = BootNow() + 60s;
    while (BootNow() < end) {
      if (this->cut.erase(kind) > 0) {
        throw StoreError(StoreFailure::kUnreachable, "the watch was cut off");
      }
      co_await Pause(5ms);
    }
    StoreSnapshot snapshot;
    snapshot.revision = {this->era, since};
    co_return snapshot;
  }

  asio::awaitable<StoreRevision> Put(std::string kind,
                                     std::string name,
                                     std::string value,
                                     uint64_t expected) override {
    ++this->full_calls;
    return MemoryStore::Put(std::move(kind), std::move(name), std::move(value), expected);
  }

  asio::awaitable<void> Set(std::string kind, std::string name, std::string value) override {
    ++this->full_calls;
    return MemoryStore::Set(std::move(kind), std::move(name), std::move(value));
  }

  int full_calls = 0;
  int stale_lists = 0;
  int watches = 0;
  std::map<std::string, int> watches_of;  // Watches by kind.
  bool down = false;
  std::set<std::string> refused;       // Kinds whose watches the store refuses.
  std::set<std::string> cut;           // Kinds whose present watch is cut off.
  std::set<std::string> history_gone;  // Kinds whose next watch fails, so that they are listed.
  bool outdated_lists = false;         // The objects of a listing are removed right after it.
};

struct SyncFixture {
  SyncFixture()
      : cluster(this->context.get_executor(), &this->codec, "d0", "fd0"),
        sync(this->context.get_executor(),
             &this->store,
             &this->registry,
             &this->cluster,
             Peer{"d0", "127.0.0.1:1", "fd0"},
             ApplyBounds()) {}

  // Adds the entries of other daemons of a large fleet to the store.
  void AddFleet(int count) {
    for (int number = 1; number <= count; ++number) {
      const std::string name = "d" + std::to_string(number);
      const Peer peer{name, "127.0.0.1:1", "fd" + std::to_string(number % 3)};
      this->store.kinds[kDaemonKind][name] = {name, {0, 1}, EncodeDaemonEntry(peer, 0), false};
    }
  }

  // Makes the daemon a follower in a large fleet whose first watcher is at one address and whose
  // other daemons are all at another one.
  void FollowWatchers(PeerNetwork* network,
                      const std::string& first_watcher,
                      const std::string& others) {
    std::vector<Peer> fleet{{"d0", "127.0.0.1:1", "fd0"}};
    for (int number = 1; number <= 90; ++number) {
      fleet.push_back({"d" + std::to_string(number), "", "fd" + std::to_string(number % 3)});
    }
    GatewayPlan plan("d0");
    plan.SetPeers(fleet);
    REQUIRE_FALSE(plan.IsWatcher());
    const std::string first = plan.Watchers().front().daemon;
    for (Peer& peer : fleet) {
      peer.address = peer.daemon == first ? first_watcher : others;
      this->store.kinds[kDaemonKind][peer.daemon] = {
          peer.daemon, {0, 1}, EncodeDaemonEntry(peer, 0), false};
    }
    this->cluster.SetNetwork(network);
    this->cluster.SetPeers(fleet);
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const TimePoint limit = BootNow() + 60s;
    while (!condition() && BootNow() < limit) {
      this->context.run_one_for(std::chrono::milliseconds(20));
    }
    REQUIRE(condition());
  }

  asio::io_context context{1};
  LineCodec codec;
  PlatformRegistryCodec registry;
  CountingStore store;
  Cluster cluster;
  StoreSync sync;
};

// Lets a daemon answer requests for changes as a watcher does that believes to reach the store.
// @param age Time since the watcher had an answer of the store.
// @param waits Receives, for each request, how long the watcher was asked to wait for a change.
void AnswerAsWatcher(PeerNetwork* network, Duration age, std::vector<uint64_t>* waits) {
  network->SetHandler(
      kSyncMessage, [age, waits](std::string, PeerMessage message) -> asio::awaitable<PeerMessage> {
        waits->push_back(DecodeSyncRequest(message.body).wait_us);
        SyncAnswer answer;
        answer.reachable = true;
        answer.revision = {0, 1};
        answer.age_us = static_cast<uint64_t>(age.count());
        std::string body = EncodeSyncAnswer(answer);
        co_return PeerMessage(kSyncMessage, std::move(body));
      });
  network->Listen("127.0.0.1:0");
}

// Guards against a store overload when all daemons of a large fleet start together: each call is
// charged and the call rate is limited.
TEST_CASE(
    "when a daemon of a large fleet starts, only one of its calls to the object store is charged "
    "at full price: the write of the daemon's own entry") {
  SyncFixture fixture;
  fixture.AddFleet(90);
  fixture.sync.Start();
  fixture.RunUntil([&fixture] {
    return fixture.store.kinds[kDaemonKind].contains("d0") && fixture.store.stale_lists >= 4;
  });
  CHECK(fixture.cluster.relays().plan().size() == 91);
  CHECK(fixture.store.full_calls == 1);
}

// Guards against one daemon's entry that another program wrote or cut: no daemon of the fleet would
// renew its own entry or learn of the others.
TEST_CASE("a malformed daemon entry does not hide the other daemons") {
  SyncFixture fixture;
  fixture.AddFleet(3);
  int number = 0;
  for (const char* value : {"", "<discarded>", "5", "{}", R"({"address":1,"failure_domain":[]})"}) {
    const std::string name = "odd" + std::to_string(number++);
    fixture.store.kinds[kDaemonKind][name] = {name, {0, 1}, value, false};
  }
  fixture.sync.Start();
  fixture.RunUntil([&fixture] { return fixture.store.kinds[kDaemonKind].contains("d0"); });
  CHECK(fixture.cluster.relays().plan().size() == 4);
}

// Guards against needless calls while the store is down: if the daemon retried the watch of each
// kind of objects separately, each retry would cost one call for each kind.
TEST_CASE(
    "while the store is unreachable, a daemon retries the watch of only one kind of objects at a "
    "time") {
  SyncFixture fixture;
  fixture.store.down = true;
  fixture.AddFleet(3);
  fixture.sync.Start();
  fixture.RunUntil([&fixture] { return fixture.store.watches >= 6; });
  // The first watch of each of the three kinds of objects has failed by now. From here on, the
  // daemon is expected to retry the watch of only one kind.
  const TimePoint start = BootNow();
  const int before = fixture.store.watches;
  fixture.RunUntil([start] { return BootNow() - start > 3s; });
  // The pauses before the retries allow fewer than 8 retries in the 3 s observed above: the
  // shortest possible pause is 100 ms before the first retry and doubles with each further one, up
  // to 1 s.
  CHECK(fixture.store.watches - before <= 8);
}

// Guards against changes of the configuration that come late because the store answers for it while
// calls for another kind fail, for example because that kind is large (issue 40).
TEST_CASE("the configuration is read from the store while another kind of objects is retried") {
  SyncFixture fixture;
  fixture.AddFleet(3);
  const std::string endpoints = fixture.registry.endpoint_kind();
  const std::string configuration = fixture.registry.routes_kind();
  const auto watches = [&fixture](const std::string& kind) {
    return fixture.store.watches_of[kind];
  };
  fixture.sync.Start();
  fixture.RunUntil([&] { return watches(configuration) == 1 && watches(endpoints) == 1; });
  fixture.store.refused = {configuration, endpoints};
  fixture.store.cut = {configuration};
  fixture.RunUntil([&] { return watches(configuration) >= 2; });
  fixture.store.cut = {endpoints};  // The kind whose call failed last is retried.
  fixture.RunUntil([&] { return fixture.store.cut.empty(); });
  fixture.store.refused = {endpoints};
  const int before = watches(configuration);
  fixture.RunUntil([&] { return watches(configuration) > before || watches(endpoints) >= 6; });
  CHECK(watches(configuration) > before);
}

// Guards against statements that reach an endpoint after its drain bound because this daemon was
// cut off from the store when the endpoint announced its end.
TEST_CASE("an endpoint may have announced its end as soon as a daemon lost the store") {
  SyncFixture fixture;
  const auto set_state = [&fixture](const std::string& state) {
    const std::string value = R"({"service":"ledger","address":"127.0.0.1:1","zone":"fd0",)"
                              R"("slots":2,"dbRole":"primary","state":")" +
                              state + R"("})";
    const std::string kind = fixture.registry.endpoint_kind();
    fixture.store.kinds[kind]["p"] = {"p", fixture.store.NextRevision(), value, false};
  };
  set_state("ready");
  fixture.store.down = true;
  fixture.sync.Start();
  fixture.RunUntil([&fixture] { return fixture.cluster.FindEndpoint("p") != nullptr; });
  fixture.RunUntil([&fixture] { return fixture.store.watches > 2; });
  const auto pool = fixture.cluster.FindEndpoint("p");
  const TimePoint lost = BootNow();
  fixture.RunUntil([lost] { return BootNow() - lost > 1s; });
  set_state("draining");
  fixture.cluster.SetDrainBound(1s);
  CHECK(fixture.cluster.TakesStatements(*pool));
  fixture.store.down = false;
  fixture.store.history_gone = {fixture.registry.endpoint_kind(), fixture.registry.routes_kind(),
                                kTakeoverKind};
  fixture.RunUntil([&pool] { return pool->record().leaving; });
  CHECK_FALSE(fixture.cluster.TakesStatements(*pool));
}

// Guards against late configuration changes when the watchers of a failure domain are cut off:
// waiting for several silent watchers, one after the other, would take longer than a change may
// take to arrive.
TEST_CASE(
    "when a watcher of the object store does not answer a daemon's request for changes, the daemon "
    "asks the next watcher to answer immediately, without waiting for a change") {
  SyncFixture fixture;
  KeyRing keys("k", {{"k", "0123456789abcdef0123456789abcdef"}});
  PeerNetwork own(fixture.context.get_executor(), "d0", &keys);
  // Stand-in for a watcher of the object store: it accepts connections and never answers.
  asio::ip::tcp::acceptor silent(fixture.context,
                                 asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  PeerNetwork other(fixture.context.get_executor(), "other", &keys);
  std::vector<uint64_t> waits;
  AnswerAsWatcher(&other, 0ms, &waits);
  fixture.FollowWatchers(&own, "127.0.0.1:" + std::to_string(silent.local_endpoint().port()),
                         other.address());
  fixture.sync.Start();
  fixture.RunUntil([&waits] { return !waits.empty(); });
  CHECK(waits.front() == 0);
}

// Guards against late configuration changes when a watcher is cut off from the store but has not
// noticed it yet: its followers would be told that nothing has changed.
TEST_CASE(
    "when the store has not confirmed a watcher's copy for too long, a daemon asks the next "
    "watcher, even if the first one claims to reach the store") {
  SyncFixture fixture;
  KeyRing keys("k", {{"k", "0123456789abcdef0123456789abcdef"}});
  PeerNetwork own(fixture.context.get_executor(), "d0", &keys);
  PeerNetwork stale(fixture.context.get_executor(), "stale", &keys);
  PeerNetwork other(fixture.context.get_executor(), "other", &keys);
  std::vector<uint64_t> stale_waits;
  std::vector<uint64_t> waits;
  AnswerAsWatcher(&stale, 30s, &stale_waits);
  AnswerAsWatcher(&other, 0ms, &waits);
  fixture.FollowWatchers(&own, stale.address(), other.address());
  fixture.sync.Start();
  fixture.RunUntil([&waits] { return waits.size() > 8; });
  CHECK(waits.front() == 0);
  CHECK(fixture.store.watches == 0);
  // The watcher that has answered is asked first from then on and may wait for a change. Each of
  // the three kinds of objects has asked the stale one once.
  CHECK(waits.back() > 0);
  CHECK(stale_waits.size() == 3);
}

// Guards against a daemon that issues tokens after a restart although the others have replaced it:
// its entry may be old, or may have been removed since a listing that is some seconds old.
TEST_CASE("a daemon is known to the others only by a young entry that is still in the store") {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  enum class Case { kYoung, kOld, kChanged, kNone };
  for (const Case which : {Case::kYoung, Case::kOld, Case::kChanged, Case::kNone}) {
    SyncFixture fixture;
    const Peer self{"d0", "127.0.0.1:1", "fd0"};
    const int64_t written_ms = which == Case::kOld ? now.count() - 600'000 : now.count();
    if (which != Case::kNone) {
      fixture.store.kinds[kDaemonKind]["d0"] = {
          "d0", {0, 1}, EncodeDaemonEntry(self, 0, written_ms), false};
    }
    fixture.store.outdated_lists = which == Case::kChanged;
    std::optional<EntryWrite> write;
    fixture.sync.SetEntryObserver([&write](const EntryWrite& seen) { write = seen; });
    fixture.sync.Start();
    fixture.RunUntil([&write] { return write.has_value(); });
    CHECK(write->known == (which == Case::kYoung));
    CHECK(fixture.store.kinds[kDaemonKind].contains("d0"));
  }
}

}  // namespace
}  // namespace poplarmoor::platform
