#include "session/store_sync.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

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
    return MemoryStore::List(std::move(kind), stale_ok);
  }

  asio::awaitable<StoreSnapshot> Watch(std::string,
                                       uint64_t since,
                                       std::chrono::milliseconds) override {
    ++this->watches;
    if (this->down) {
      throw StoreError(StoreFailure::kRefused, "the store is down");
    }
    co_await Pause(60s);
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
  bool down = false;
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
  other.SetHandler(kSyncMessage,
                   [&waits](std::string, PeerMessage message) -> asio::awaitable<PeerMessage> {
                     waits.push_back(DecodeSyncRequest(message.body).wait_us);
                     SyncAnswer answer;
                     answer.reachable = true;
                     answer.revision = {0, 1};
                     std::string body = EncodeSyncAnswer(answer);
                     co_return PeerMessage(kSyncMessage, std::move(body));
                   });
  other.Listen("127.0.0.1:0");
  std::vector<Peer> fleet{{"d0", "127.0.0.1:1", "fd0"}};
  for (int number = 1; number <= 90; ++number) {
    fleet.push_back({"d" + std::to_string(number), "", "fd" + std::to_string(number % 3)});
  }
  GatewayPlan plan("d0");
  plan.SetPeers(fleet);
  const std::string first = plan.Watchers().front().daemon;
  REQUIRE_FALSE(plan.IsWatcher());
  for (Peer& peer : fleet) {
    peer.address = peer.daemon == first
                       ? "127.0.0.1:" + std::to_string(silent.local_endpoint().port())
                       : other.address();
  }
  for (const Peer& peer : fleet) {
    fixture.store.kinds[kDaemonKind][peer.daemon] = {
        peer.daemon, {0, 1}, EncodeDaemonEntry(peer, 0), false};
  }
  fixture.cluster.SetNetwork(&own);
  fixture.cluster.SetPeers(fleet);
  fixture.sync.Start();
  fixture.RunUntil([&waits] { return !waits.empty(); });
  CHECK(waits.front() == 0);
}

}  // namespace
}  // namespace poplarmoor::platform
