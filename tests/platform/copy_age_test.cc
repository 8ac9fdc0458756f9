#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "net/key_ring.h"
#include "net/peer_network.h"
#include "platform/line_codec.h"
#include "platform/platform_registry_codec.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/daemon_entry.h"
#include "session/relay_router.h"
#include "session/store_sync.h"
#include "session/wait_list.h"
#include "tests/platform/memory_store.h"
#include "wire/relay_codec.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kBound{2000};
constexpr Duration kLimit = 1950ms;  // The bound less 2.5%.

std::string Configuration(int version, const std::string& organisations) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r","host":"orders",
    "pathPrefix":"/","kind":"primary","timeoutMs":800,"sloMs":250,"priority":1,"service":"s",
    "maxAttempts":2,"maxStalenessMs":0}],
    "services":[{"name":"s","healthPath":"/health","maxConns":23,"syncReplicas":1}],
    "limits":{"txIdleMs":3000},"tenants":[)" +
         organisations + "]}";
}

const char kNorth[] = R"({"name":"north","apiKeys":["k-north"],"ratePerS":9,"burst":9})";
const char kSouth[] = R"({"name":"south","apiKeys":["k-south"],"ratePerS":9,"burst":9})";

// Object store with watches, whose listings that may be stale show an earlier state.
class WatchedStore : public MemoryStore {
 public:
  asio::awaitable<StoreSnapshot> List(std::string kind, bool stale_ok) override {
    ++this->calls;
    this->Check();
    StoreSnapshot snapshot = co_await MemoryStore::List(kind, stale_ok);
    if (stale_ok && !this->stale_configuration.empty() && kind == "config") {
      snapshot.revision = {0, 1};
      snapshot.objects = {{"main", {0, 1}, this->stale_configuration, false}};
    }
    co_return snapshot;
  }

  asio::awaitable<StoreSnapshot> Watch(std::string kind,
                                       uint64_t since,
                                       std::chrono::milliseconds wait) override {
    ++this->calls;
    this->longest_wait = kind == "config" ? std::max(this->longest_wait, wait) : this->longest_wait;
    const TimePoint end = BootNow() + wait;
    this->Check();
    while (this->hangs || (this->revision <= since && BootNow() < end)) {
      co_await Pause(5ms);
      this->Check();
    }
    co_await Pause(this->answer_delay);
    StoreSnapshot snapshot;
    snapshot.revision = {0, this->revision};
    for (const auto& [name, object] : this->kinds[kind]) {
      if (object.revision.number > since) {
        snapshot.objects.push_back(object);
      }
    }
    co_return snapshot;
  }

  void Check() const {
    if (this->down) {
      throw StoreError(StoreFailure::kUnreachable, "the store is down");
    }
  }

  void Configure(const std::string& text) {
    this->kinds["config"]["main"] = {"main", this->NextRevision(), text, false};
  }

  std::string stale_configuration;
  bool down = false;
  bool hangs = false;  // Watches are not answered.
  Duration answer_delay{};
  std::chrono::milliseconds longest_wait{};
  int calls = 0;
};

struct CopyFixture {
  explicit CopyFixture(std::optional<std::chrono::milliseconds> bound = kBound)
      : sync(this->context.get_executor(),
             &this->store,
             &this->registry,
             &this->cluster,
             Peer{"d0", "127.0.0.1:1", "fd0"},
             ApplyBounds(),
             bound) {
    this->cluster.access().SetRevocationBound(bound);
    this->store.Configure(Configuration(1, kNorth));
  }

  AccessVerdict Verdict(const std::string& key = "k-north", const std::string& name = "north") {
    SessionState state;
    state.key = KeyIdOf(key);
    state.organisation = name;
    const auto refusal = this->cluster.access().Check(state);
    return refusal ? refusal->verdict : AccessVerdict::kAllowed;
  }

  void AwaitVersion(uint64_t version) {
    this->RunUntil([&] { return this->cluster.routes().version == version; });
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
  WatchedStore store;
  Cluster cluster{context.get_executor(), &codec, "d0", "fd0"};
  StoreSync sync;
};

// Guards against statements with a key that was withdrawn shortly before a daemon restarted.
TEST_CASE("a restarted daemon does not serve a key from a listing that may be stale") {
  for (const bool has_bound : {true, false}) {
    CopyFixture fixture(has_bound ? std::optional(kBound) : std::nullopt);
    fixture.store.stale_configuration = Configuration(1, kNorth);
    fixture.store.Configure(Configuration(2, kSouth));
    fixture.sync.Start();
    fixture.RunUntil([&] { return fixture.cluster.routes().version > 0; });
    // Without a bound, the cheaper listing is used. It does not count as a verification.
    CHECK(fixture.cluster.routes().version == (has_bound ? 2 : 1));
    CHECK(fixture.Verdict() == (has_bound ? AccessVerdict::kUnknownKey : AccessVerdict::kAllowed));
    CHECK(fixture.cluster.access().Age().has_value() == has_bound);
  }
}

// Guards against a daemon that serves a withdrawn key because it cannot learn of the change, and
// against answers whose delay makes a copy look younger than it is.
TEST_CASE("a daemon without store and peers serves keys until its copy reaches the bound") {
  CopyFixture fixture;
  fixture.sync.Start();
  fixture.AwaitVersion(1);
  fixture.store.answer_delay = 100ms;
  fixture.RunUntil([&] { return fixture.store.longest_wait > 0ms; });
  CHECK(fixture.store.longest_wait <= kBound / 5);
  const std::optional<Duration> before = fixture.cluster.access().Age();
  fixture.RunUntil([&] { return *fixture.cluster.access().Age() < *before; });
  CHECK(*fixture.cluster.access().Age() >= fixture.store.answer_delay);
  fixture.store.down = true;
  fixture.store.Configure(Configuration(2, kSouth));
  CHECK(fixture.Verdict() == AccessVerdict::kAllowed);
  fixture.RunUntil([&] { return fixture.Verdict() != AccessVerdict::kAllowed; });
  CHECK(fixture.Verdict() == AccessVerdict::kCopyTooOld);
  CHECK(*fixture.cluster.access().Age() >= kLimit);
  fixture.store.down = false;
  fixture.AwaitVersion(2);
  CHECK(fixture.Verdict() == AccessVerdict::kUnknownKey);
  CHECK(fixture.Verdict("k-south", "south") == AccessVerdict::kAllowed);
}

// Guards against a daemon that the store turns away and that refuses valid keys or serves withdrawn
// ones although a peer has a young copy.
TEST_CASE("a daemon that sees only a peer serves keys by the age and changes of the peer's copy") {
  CopyFixture fixture;
  const KeyRing keys("k", {{"k", "0123456789abcdef0123456789abcdef"}});
  PeerNetwork own(fixture.context.get_executor(), "d0", &keys);
  PeerNetwork peer(fixture.context.get_executor(), "d1", &keys);
  SyncAnswer answer;
  answer.revision = {0, 2};
  Duration age = 300ms;
  size_t asked = 0;
  peer.SetHandler(
      kSyncMessage, [&](std::string, PeerMessage message) -> asio::awaitable<PeerMessage> {
        const bool is_routes = DecodeSyncRequest(message.body).kind == "config";
        asked += is_routes ? 1 : 0;
        answer.verified_age_us = ToVerifiedAge(is_routes ? std::optional(age) : std::nullopt);
        std::string body = EncodeSyncAnswer(answer);
        co_return PeerMessage(kSyncMessage, std::move(body));
      });
  peer.Listen("127.0.0.1:0");
  const Peer other{"d1", peer.address(), "fd0"};
  fixture.store.kinds[kDaemonKind]["d1"] = {"d1", {0, 1}, EncodeDaemonEntry(other, 0), false};
  fixture.cluster.SetNetwork(&own);
  fixture.sync.Start();
  fixture.AwaitVersion(1);
  fixture.RunUntil([&] { return fixture.cluster.relays().plan().size() == 2; });
  fixture.store.hangs = true;
  const TimePoint cut = BootNow();
  fixture.RunUntil([&] {
    return BootNow() - cut > kBound + kBound && fixture.Verdict() == AccessVerdict::kAllowed;
  });
  CHECK(*fixture.cluster.access().Age() >= age);
  // The calls are bounded by the interval of the queries.
  CHECK(asked <= static_cast<size_t>((BootNow() - cut) / (kBound / 20)) + 1);
  answer.revision = {0, 100};
  answer.objects = {{"main", {0, 100}, Configuration(2, kSouth), false}};
  fixture.AwaitVersion(2);
  CHECK(fixture.Verdict() == AccessVerdict::kUnknownKey);
  CHECK(fixture.Verdict("k-south", "south") == AccessVerdict::kAllowed);
  age = kBound;  // The peer loses the store as well.
  fixture.RunUntil(
      [&] { return fixture.Verdict("k-south", "south") == AccessVerdict::kCopyTooOld; });
}

// Guards against a daemon that takes an old copy for a young one because a peer, which does not
// know yet that the store was restored, has a young copy of the former state.
TEST_CASE("a peer's copy of an earlier era proves nothing about the copy of a restored store") {
  CopyFixture fixture;
  const KeyRing keys("k", {{"k", "0123456789abcdef0123456789abcdef"}});
  PeerNetwork own(fixture.context.get_executor(), "d0", &keys);
  PeerNetwork peer(fixture.context.get_executor(), "d1", &keys);
  SyncAnswer answer;
  answer.revision = {0, 100};
  answer.verified_age_us = ToVerifiedAge(0ms);
  size_t asked = 0;
  peer.SetHandler(kSyncMessage, [&](std::string, PeerMessage) -> asio::awaitable<PeerMessage> {
    ++asked;
    std::string body = EncodeSyncAnswer(answer);
    co_return PeerMessage(kSyncMessage, std::move(body));
  });
  peer.Listen("127.0.0.1:0");
  const Peer other{"d1", peer.address(), "fd0"};
  fixture.store.kinds[kDaemonKind]["d1"] = {"d1", {0, 1}, EncodeDaemonEntry(other, 0), false};
  fixture.store.era = 1;  // The fixture's watches answer for era 0, so that they fail.
  fixture.cluster.SetNetwork(&own);
  fixture.sync.Start();
  fixture.AwaitVersion(1);
  fixture.RunUntil([&] { return fixture.cluster.access().Age() > kBound && asked > 0; });
  CHECK(fixture.Verdict() == AccessVerdict::kCopyTooOld);
  answer.revision = {1, 1};
  fixture.RunUntil([&] { return fixture.Verdict() == AccessVerdict::kAllowed; });
}

// Guards against a malformed configuration that makes a daemon forget its keys, or whose arrival
// counts as a lost store.
TEST_CASE("a malformed list of organisations leaves the last good configuration in force") {
  CopyFixture fixture;
  fixture.sync.Start();
  fixture.AwaitVersion(1);
  const std::string two_owners = std::string(kNorth) + "," +
                                 R"({"name":"south","apiKeys":["k-north"],"ratePerS":9,"burst":9})";
  fixture.store.Configure(Configuration(2, two_owners));
  const int calls = fixture.store.calls;
  const TimePoint start = BootNow();
  fixture.RunUntil([&] {
    return BootNow() - start > kBound + kBound && fixture.Verdict() == AccessVerdict::kAllowed;
  });
  CHECK(fixture.store.calls > calls);
  CHECK(fixture.cluster.routes().version == 1);
  fixture.store.Configure(Configuration(2, kSouth));
  fixture.AwaitVersion(2);
  CHECK(fixture.Verdict() == AccessVerdict::kUnknownKey);
}

}  // namespace
}  // namespace poplarmoor::platform
