#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "net/http_client.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "net/key_ring.h"
#include "net/peer_network.h"
#include "platform/line_codec.h"
#include "platform/platform_registry_codec.h"
#include "platform/store_client.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/daemon_entry.h"
#include "session/store_sync.h"
#include "session/takeover_claim.h"
#include "telemetry/metrics.h"
#include "tests/platform/memory_store.h"
#include "wire/relay_codec.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;

using Json = nlohmann::json;

// Memory store with watches. A watch that waits while the store is restored is cut off.
class WatchedStore : public MemoryStore {
 public:
  asio::awaitable<StoreSnapshot> Watch(std::string kind,
                                       uint64_t since,
                                       std::chrono::milliseconds wait) override {
    const TimePoint deadline = BootNow() + wait;
    const uint64_t called_in = this->era;
    for (;;) {
      if (this->era != called_in) {
        throw StoreError(StoreFailure::kUnreachable, "cut off");
      }
      if (since > this->revision) {
        throw StoreError(StoreFailure::kHistoryGone, "no such revision");
      }
      StoreSnapshot snapshot;
      snapshot.revision = {this->era, this->revision};
      for (const auto& [name, object] : this->kinds[kind]) {
        if (object.revision.number > since) {
          snapshot.objects.push_back(object);
          snapshot.objects.back().revision.era = this->era;
        }
      }
      if (!snapshot.objects.empty() || BootNow() >= deadline) {
        co_return snapshot;
      }
      co_await Pause(1ms);
    }
  }

  // Stores an object as the operator or an endpoint does.
  void Write(const std::string& kind, const std::string& name, const Json& value) {
    this->kinds[kind][name] = {name, this->NextRevision(), value.dump(), false};
  }

  // Counts changes that do not concern the tested kinds.
  void CountTo(uint64_t number) { this->revision = std::max(this->revision, number); }
};

Json MakeRoutes(uint64_t version) {
  return {{"version", version},
          {"routes", Json::array()},
          {"services", Json::array()},
          {"limits", Json::object()}};
}

struct RestoreFixture {
  RestoreFixture()
      : cluster(this->context.get_executor(), &this->codec, "d0", "fd0"),
        sync(this->context.get_executor(),
             &this->store,
             &this->registry,
             &this->cluster,
             Peer{"d0", "127.0.0.1:1", "fd0"},
             ApplyBounds()) {
    this->store.era = 1;
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const TimePoint limit = BootNow() + 30s;
    while (!condition() && BootNow() < limit) {
      this->context.run_one_for(std::chrono::milliseconds(20));
    }
    REQUIRE(condition());
  }

  asio::io_context context{1};
  LineCodec codec;
  PlatformRegistryCodec registry;
  WatchedStore store;
  Cluster cluster;
  StoreSync sync;
};

EndpointRecord MakeRecord(StoreRevision revision) {
  EndpointRecord record;
  record.id = "p";
  record.service = "ledger";
  record.address = "127.0.0.1:1";
  record.failure_domain = "fd0";
  record.incarnation_ms = 7;
  record.revision = revision;
  return record;
}

TakeoverClaim MakeClaim(TakeoverPhase phase, uint64_t nonce, StoreRevision revision) {
  TakeoverClaim claim;
  claim.service = "ledger";
  claim.phase = phase;
  claim.holder = "d" + std::to_string(nonce);
  claim.nonce = nonce;
  claim.revision = revision;
  return claim;
}

// Guards against a configuration that is never applied: the daemon watches from a revision that the
// restored store has given out again, and the configuration was written before it.
TEST_CASE(
    "after the store was restored, a daemon applies a configuration whose revision number is lower "
    "than the number from which the daemon watches") {
  RestoreFixture fixture;
  fixture.store.Write("config", "main", MakeRoutes(3));
  const WatchedStore copy = fixture.store;
  fixture.store.CountTo(50);
  fixture.sync.Start();
  fixture.RunUntil([&fixture] { return fixture.cluster.routes().version == 3; });
  // Lets the daemon end the search for other daemons and begin to watch.
  const TimePoint start = BootNow();
  fixture.RunUntil([start] { return BootNow() - start > 4s; });
  fixture.store.RestoreFrom(copy);
  fixture.store.Write("config", "main", MakeRoutes(4));
  fixture.store.CountTo(60);
  fixture.RunUntil([&fixture] { return fixture.cluster.routes().version == 4; });
  CHECK(fixture.cluster.routes().version == 4);
}

// Guards against daemons that no longer know of each other: the entry and the shared key are
// written rarely, and the copy may be older than they are.
TEST_CASE(
    "after the store was restored, a daemon writes its entry and the objects that it keeps again "
    "if the copy lacks them, and leaves other objects as they are") {
  RestoreFixture fixture;
  fixture.store.Write("config", "main", MakeRoutes(3));
  const WatchedStore copy = fixture.store;
  fixture.sync.KeepObject("peer-keys", "main", R"({"key":"k"})");
  fixture.sync.Start();
  fixture.RunUntil([&fixture] { return fixture.store.kinds[kDaemonKind].contains("d0"); });
  const TimePoint start = BootNow();
  fixture.RunUntil([start] { return BootNow() - start > 4s; });
  fixture.store.RestoreFrom(copy);
  const TimePoint restored = BootNow();
  fixture.RunUntil([&fixture] {
    return fixture.store.kinds[kDaemonKind].contains("d0") &&
           fixture.store.kinds["peer-keys"].contains("main");
  });
  CHECK(fixture.store.kinds["peer-keys"]["main"].value == R"({"key":"k"})");
  // Without the restore, the entry is renewed after 45 s only.
  CHECK(BootNow() - restored < 20s);
}

// Guards against requests to an endpoint that stops (DRAIN): its report has a lower number than the
// entry that the daemon knows from before the restore.
TEST_CASE("an endpoint's entry of a later era is applied although its number is lower") {
  RestoreFixture fixture;
  fixture.cluster.ApplyEndpoint(MakeRecord({1, 100}));
  EndpointRecord record = MakeRecord({2, 40});
  record.leaving = true;
  fixture.cluster.ApplyEndpoint(record);
  CHECK(fixture.cluster.FindEndpoint("p")->record().leaving);
}

// Guards against requests to an endpoint that stops (DRAIN): the copy is from before its report.
TEST_CASE(
    "an endpoint that leaves stays leaving when a restored entry of the same start says otherwise, "
    "and an entry of an earlier start or era is ignored") {
  RestoreFixture fixture;
  EndpointRecord leaving = MakeRecord({1, 100});
  leaving.leaving = true;
  fixture.cluster.ApplyEndpoint(leaving);
  fixture.cluster.ApplyEndpoint(MakeRecord({2, 40}));
  CHECK(fixture.cluster.FindEndpoint("p")->record().leaving);
  // The same entry is listed once more, and an answer from before the restore arrives late.
  fixture.cluster.ApplyEndpoint(MakeRecord({2, 40}));
  fixture.cluster.ApplyEndpoint(MakeRecord({1, 101}));
  CHECK(fixture.cluster.FindEndpoint("p")->record().leaving);
  EndpointRecord restarted = MakeRecord({2, 41});
  restarted.incarnation_ms = 8;
  fixture.cluster.ApplyEndpoint(restarted);
  CHECK_FALSE(fixture.cluster.FindEndpoint("p")->record().leaving);
  fixture.cluster.ApplyEndpoint(MakeRecord({3, 10}));
  CHECK(fixture.cluster.FindEndpoint("p")->record().incarnation_ms == 8);
}

// Guards against an outage after a restore: the copy names the primary of before a takeover.
TEST_CASE("a restored entry does not replace the primary that a daemon knows") {
  RestoreFixture fixture;
  EndpointRecord old_primary = MakeRecord({1, 100});
  fixture.cluster.ApplyEndpoint(old_primary);
  EndpointRecord primary = MakeRecord({1, 101});
  primary.id = "a";
  primary.claims_primary = true;
  fixture.cluster.ApplyEndpoint(primary);
  old_primary.claims_primary = true;
  old_primary.revision = {2, 40};
  fixture.cluster.ApplyEndpoint(old_primary);
  REQUIRE(fixture.cluster.FindGroup("ledger")->Primary() != nullptr);
  CHECK(fixture.cluster.FindGroup("ledger")->Primary()->record().id == "a");
}

// Guards against takeovers that conflict for ever: the restored store has another claim than the
// one that the daemon knows, or none.
TEST_CASE(
    "after the store was restored, the known takeover claim is the store's, also if it is older or "
    "missing there, and a claim of an earlier era is ignored") {
  RestoreFixture fixture;
  ServiceGroup* group = fixture.cluster.EnsureGroup("ledger");
  group->ApplyClaim(MakeClaim(TakeoverPhase::kResuming, 5, {1, 100}));
  const TimePoint window = group->resume_pending_until;
  group->ApplyClaim(MakeClaim(TakeoverPhase::kAbandoned, 4, {2, 40}));
  CHECK(group->claim.nonce == 4);
  CHECK(group->claim.revision == StoreRevision{2, 40});
  CHECK(group->resume_pending_until == window);
  group->ApplyClaim(MakeClaim(TakeoverPhase::kClaimed, 5, {1, 120}));
  CHECK(group->claim.nonce == 4);
  group->ForgetClaim({3, 10});
  CHECK(group->claim.revision == StoreRevision{3, 0});
  CHECK(group->claim.phase == TakeoverPhase::kNone);
  // A listing that was under way when the claim was stored.
  group->ApplyClaim(MakeClaim(TakeoverPhase::kClaimed, 6, {3, 12}));
  group->ForgetClaim({3, 11});
  CHECK(group->claim.nonce == 6);
}

// Guards against a promotion that is refused for ever, or ordered by two holders with one token
// (ONE): the restored store gives revision numbers out again.
TEST_CASE("the fencing token of a takeover rises with each restore of the store") {
  CHECK(FencingToken({0, 27}) == 27);
  CHECK(FencingToken({2, 10}) > FencingToken({1, 27}));
  CHECK(FencingToken({2, 27}) != FencingToken({1, 27}));
  CHECK(FencingToken({8000, 1000000000000}) < (uint64_t{1} << 53));
}

// Guards against followers of a watcher that keep what the store has lost, and against an older
// answer that undoes newer changes.
TEST_CASE(
    "a daemon answers a peer that knows an earlier era with all objects, and a peer that knows a "
    "later era with none") {
  RestoreFixture fixture;
  KeyRing keys("k", {{"k", "0123456789abcdef0123456789abcdef"}});
  PeerNetwork own(fixture.context.get_executor(), "d0", &keys);
  PeerNetwork follower(fixture.context.get_executor(), "d1", &keys);
  fixture.store.Write("config", "main", MakeRoutes(3));
  fixture.store.era = 2;
  fixture.sync.Start();
  fixture.sync.Attach(&own);
  own.Listen("127.0.0.1:0");
  fixture.RunUntil([&fixture] { return fixture.cluster.routes().version == 3; });
  const auto ask = [&](StoreRevision since) {
    std::optional<SyncAnswer> answer;
    PeerMessage query(kSyncMessage, EncodeSyncRequest({"config", since, 0}));
    asio::co_spawn(fixture.context,
                   follower.Call(own.address(), std::move(query), std::chrono::milliseconds(20000),
                                 PeerCallKind::kRepeatable),
                   [&answer](std::exception_ptr failure, PeerMessage message) {
                     REQUIRE_FALSE(failure);
                     answer = DecodeSyncAnswer(message.body);
                   });
    fixture.RunUntil([&answer] { return answer.has_value(); });
    return *answer;
  };
  const SyncAnswer restored = ask({1, 100});
  CHECK(restored.complete);
  CHECK(restored.revision > StoreRevision{1, 100});
  REQUIRE(restored.objects.size() == 1);
  const SyncAnswer behind = ask({3, 1});
  CHECK_FALSE(behind.complete);
  CHECK(behind.objects.empty());
}

// Guards against an era that is not read: all orders of revisions depend on it.
TEST_CASE("the store client reads the era from the store's answers; without it the era is 0") {
  asio::io_context context{1};
  Metrics metrics;
  std::string era = "7";
  const auto server = std::make_shared<HttpServer>(
      context.get_executor(),
      [&era](HttpRequest request, ConnectionId) -> asio::awaitable<HttpResponse> {
        HttpResponse response;
        if (!era.empty()) {
          response.headers["Store-Era"] = era;
        }
        const Json object{{"meta", {{"name", "n"}, {"rev", 5}}}, {"spec", {{"a", 1}}}};
        const Json list{{"items", {object}}, {"hasMore", false}, {"currentRev", 9}};
        const bool is_list = request.method == "GET" && request.target == "/v1/objects/things";
        response.body = is_list ? list.dump() : object.dump();
        co_return response;
      });
  server->Listen("127.0.0.1:0");
  HttpClient http(context.get_executor());
  StoreClient client(&http, server->address(), &metrics);
  StoreSnapshot snapshot;
  StoreRevision written;
  const auto call = [&]() -> asio::awaitable<void> {
    snapshot = co_await client.List("things", false);
    written = co_await client.Put("things", "n", "{}", 5);
  };
  const auto run = [&] {
    bool done = false;
    asio::co_spawn(context, call(), [&done](std::exception_ptr failure) {
      REQUIRE_FALSE(failure);
      done = true;
    });
    const TimePoint limit = BootNow() + 30s;
    while (!done && BootNow() < limit) {
      context.run_one_for(std::chrono::milliseconds(20));
    }
    REQUIRE(done);
  };
  run();
  CHECK(snapshot.revision == StoreRevision{7, 9});
  CHECK(snapshot.objects.at(0).revision == StoreRevision{7, 5});
  CHECK(written == StoreRevision{7, 5});
  era.clear();
  run();
  CHECK(snapshot.revision == StoreRevision{0, 9});
}

}  // namespace
}  // namespace poplarmoor::platform
