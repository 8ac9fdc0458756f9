#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "net/key_ring.h"
#include "net/peer_network.h"
#include "platform/line_codec.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/evidence_exchange.h"
#include "session/promotion_api.h"
#include "session/relay_server.h"
#include "session/statement_runner.h"
#include "session/takeover_controller.h"
#include "telemetry/metrics.h"
#include "tests/platform/fake_line_endpoint.h"
#include "tests/platform/memory_store.h"
#include "wire/relay_codec.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;

// Two daemons: "gate" can reach the endpoints; "entry" cannot and knows "gate" as a peer.
class RelayFixture {
 public:
  struct Daemon {
    Daemon(asio::io_context* context, const LineCodec* codec, const KeyRing* keys, std::string name)
        : cluster(context->get_executor(), codec, name, "fd1"),
          runner(&this->cluster, codec, &this->metrics),
          server(context->get_executor(), &this->cluster),
          peers(context->get_executor(), name, keys) {
      this->server.RegisterHandlers(&this->peers);
      this->peers.Listen("127.0.0.1:0");
    }

    Metrics metrics;
    Cluster cluster;
    StatementRunner runner;
    RelayServer server;
    PeerNetwork peers;
  };

  RelayFixture()
      : keys("k", {{"k", "0123456789abcdef0123456789abcdef"}}),
        gate(&this->context, &this->codec, &this->keys, "gate"),
        entry(&this->context, &this->codec, &this->keys, "entry") {
    this->group.primary = "p";
    RouteTable table;
    table.version = 1;
    table.services["ledger"] = {"ledger", 40, 1};
    this->route.name = this->route.database = "orders";
    this->route.service = "ledger";
    this->route.statement_timeout = 20s;
    table.routes["orders"] = this->route;
    for (Daemon* daemon : {&this->gate, &this->entry}) {
      daemon->cluster.ApplyRoutes(table);
      daemon->cluster.relays().SetNetwork(&daemon->peers);
      daemon->cluster.SetPeers({{"gate", this->gate.peers.address(), "fd1"},
                                {"entry", this->entry.peers.address(), "fd1"}});
    }
    for (const char* id : {"p", "a"}) {
      this->endpoints.push_back(
          std::make_unique<FakeLineEndpoint>(this->context.get_executor(), id, &this->group));
      EndpointRecord record;
      record.id = id;
      record.service = "ledger";
      record.failure_domain = "fd1";
      record.claims_primary = record.id == "p";
      record.revision = {0, 2};
      record.address = this->endpoints.back()->address();
      this->gate.cluster.ApplyEndpoint(record);
      record.address = "127.0.0.1:1";  // "entry" cannot reach the endpoint.
      this->entry.cluster.ApplyEndpoint(record);
      this->entry.cluster.FindEndpoint(id)->down = true;
    }
  }

  // Runs a coroutine to its end.
  StatementAnswer Await(asio::awaitable<StatementAnswer> work) {
    std::optional<StatementAnswer> result;
    asio::co_spawn(this->context, std::move(work),
                   [&result](std::exception_ptr failure, StatementAnswer answer) {
                     REQUIRE_FALSE(failure);
                     result = std::move(answer);
                   });
    const TimePoint limit = BootNow() + 60s;
    while (!result && BootNow() < limit) {
      this->context.run_one_for(std::chrono::milliseconds(20));
    }
    REQUIRE(result);
    return *result;
  }

  StatementJob Job(const std::string& id, const std::string& text, bool writes) {
    StatementJob job;
    job.id = id;
    job.text = text;
    job.writes = writes;
    job.route = &this->route;
    job.arrived = BootNow();
    job.deadline = job.arrived + this->route.statement_timeout;
    return job;
  }

  asio::io_context context{1};
  LineCodec codec;
  KeyRing keys;
  FakeGroup group;
  DatabaseRoute route;
  Daemon gate;
  Daemon entry;
  std::vector<std::unique_ptr<FakeLineEndpoint>> endpoints;
};

TEST_CASE(
    "a daemon that cannot reach a primary relays statements through another daemon instead of "
    "refusing them") {
  RelayFixture fixture;
  SessionState state;
  state.session = 7;
  state.values["role"] = "clerk";
  const auto write =
      fixture.Await(fixture.entry.runner.Run(fixture.Job("w1", "WRITE 1 x", true), &state));
  CHECK_FALSE(write.error);
  CHECK(write.signature == "signed.w1");
  const auto read =
      fixture.Await(fixture.entry.runner.Run(fixture.Job("r1", "READ 1", false), &state));
  CHECK_FALSE(read.error);
  CHECK(read.rows == std::vector<std::string>{"data"});
  REQUIRE(fixture.group.executed.size() == 2);
  CHECK(fixture.group.executed[0].values.at("role") == "clerk");
  CHECK(fixture.group.executed[1].in_transaction);
  CHECK(state.last_commit.index == 11);
}

TEST_CASE(
    "a transaction relayed through a gateway uses one connection of the gateway, and the gateway "
    "rolls the transaction back when the entry daemon discards it") {
  RelayFixture fixture;
  SessionState state;
  state.session = 7;
  SessionTransaction transaction;
  for (const char* id : {"w1", "w2"}) {
    const auto answer = fixture.Await(fixture.entry.runner.RunInTransaction(
        fixture.Job(id, "WRITE 1 x", true), &state, &transaction));
    CHECK_FALSE(answer.error);
  }
  CHECK(fixture.group.executed[1].in_transaction);
  CHECK(fixture.endpoints[0]->opened == 1);
  fixture.entry.runner.Discard(&transaction);
  const TimePoint limit = BootNow() + 60s;
  while (fixture.endpoints[0]->rolled_back == 0 && BootNow() < limit) {
    fixture.context.run_one_for(std::chrono::milliseconds(20));
  }
  CHECK(fixture.endpoints[0]->rolled_back == 1);
}

TEST_CASE(
    "when the endpoint's answer to a relayed write is cut off, the write is reported as in doubt "
    "and is not sent again") {
  RelayFixture fixture;
  fixture.endpoints[0]->cut_answers = {"WRITE"};
  SessionState state;
  const auto answer =
      fixture.Await(fixture.entry.runner.Run(fixture.Job("w1", "WRITE 1 x", true), &state));
  CHECK(answer.error == StatementError::kInDoubt);
  CHECK(fixture.group.executed.size() == 1);
}

// Guards against commits in doubt, or without proof, at a daemon that reaches only the primary.
TEST_CASE("a daemon without a path to the replicas confirms commits by way of another daemon") {
  RelayFixture fixture;
  EndpointRecord primary = fixture.gate.cluster.FindEndpoint("p")->record();
  primary.revision = {0, 3};
  fixture.entry.cluster.ApplyEndpoint(primary);
  fixture.entry.cluster.FindEndpoint("p")->down = false;
  fixture.endpoints[1]->lag = 1;
  fixture.route.statement_timeout = 1h;
  std::optional<StatementAnswer> answer;
  SessionState state;
  asio::co_spawn(fixture.context,
                 fixture.entry.runner.Run(fixture.Job("w1", "WRITE 1 x", true), &state),
                 [&answer](std::exception_ptr, StatementAnswer result) { answer = result; });
  const auto run_until = [&fixture](const auto& condition) {
    const TimePoint limit = BootNow() + 60s;
    while (!condition() && BootNow() < limit) {
      fixture.context.run_one_for(std::chrono::milliseconds(20));
    }
    REQUIRE(condition());
  };
  const auto replica = fixture.entry.cluster.FindEndpoint("a");
  run_until([&] { return replica->last_report.has_value(); });
  CHECK(replica->last_report->received == LogPosition{1, 10});
  CHECK(replica->UsesRelay());
  CHECK(fixture.group.index == 11);
  CHECK_FALSE(answer);
  fixture.endpoints[1]->lag = 0;
  run_until([&] { return answer.has_value(); });
  CHECK_FALSE(answer->error);
  CHECK(answer->signature == "signed.w1");
}

// Guards against a planned stop of a gateway that cuts off what other daemons' callers have sent:
// a write would be reported as in doubt, a transaction as aborted.
TEST_CASE(
    "a gateway that is stopping finishes the open transactions of other daemons and refuses new "
    "statements as not run") {
  RelayFixture fixture;
  SessionState state;
  state.session = 7;
  SessionTransaction transaction;
  const auto first = fixture.Await(fixture.entry.runner.RunInTransaction(
      fixture.Job("w1", "WRITE 1 x", true), &state, &transaction));
  CHECK_FALSE(first.error);
  fixture.gate.server.Drain();
  CHECK(fixture.gate.server.in_progress() == 1);
  const auto second = fixture.Await(fixture.entry.runner.RunInTransaction(
      fixture.Job("w2", "WRITE 2 x", true), &state, &transaction));
  CHECK_FALSE(second.error);
  const auto commit = fixture.Await(
      fixture.entry.runner.Commit(fixture.Job("c1", "COMMIT", true), &state, &transaction));
  CHECK_FALSE(commit.error);
  CHECK(fixture.gate.server.in_progress() == 0);
  const size_t executed = fixture.group.executed.size();
  fixture.route.statement_timeout = 300ms;
  const auto refused =
      fixture.Await(fixture.entry.runner.Run(fixture.Job("w3", "WRITE 3 x", true), &state));
  REQUIRE(refused.error);
  CHECK(HasNotRun(*refused.error));
  CHECK(fixture.group.executed.size() == executed);
}

// Guards against a planned stop that cuts off the statements of relayed transactions which go on
// until the gateway ends.
TEST_CASE("a gateway rolls the transactions of other daemons back before it ends") {
  RelayFixture fixture;
  SessionState state;
  state.session = 7;
  SessionTransaction transaction;
  const auto first = fixture.Await(fixture.entry.runner.RunInTransaction(
      fixture.Job("w1", "WRITE 1 x", true), &state, &transaction));
  CHECK_FALSE(first.error);
  fixture.gate.server.Drain();
  fixture.gate.server.EndTransactions();
  CHECK(fixture.gate.server.in_progress() == 0);
  const auto second = fixture.Await(fixture.entry.runner.RunInTransaction(
      fixture.Job("w2", "WRITE 2 x", true), &state, &transaction));
  CHECK(second.error == StatementError::kAborted);
  CHECK(fixture.group.executed.size() == 1);
}

// Guards against statements that reach an endpoint long after their callers were answered: a cut
// holds a request up on its way to the gateway, and the caller's time limit passes.
TEST_CASE("a gateway does not run a relayed statement whose time limit has passed on the way") {
  RelayFixture fixture;
  RelayRequest request;
  request.endpoint = "p";
  request.opening = kOpeningNames.NameOf(Opening::kNone);
  request.text = "READ 1";
  request.clock = 7;
  const auto relay = [&](std::string id, Duration held, Duration limit) {
    request.id = std::move(id);
    request.limit_us = static_cast<uint64_t>(limit.count());
    request.sent_us = static_cast<uint64_t>((BootNow() - held).time_since_epoch().count());
    PeerMessage message(kRelayMessage, EncodeRelayRequest(request));
    const auto call = [&](PeerMessage message) -> asio::awaitable<StatementAnswer> {
      const PeerMessage answer = co_await fixture.entry.peers.Call(
          fixture.gate.peers.address(), std::move(message), std::chrono::milliseconds(60000));
      StatementAnswer result;
      result.error_text = DecodeRelayAnswer(answer.body).outcome;
      co_return result;
    };
    return fixture.Await(call(std::move(message))).error_text;
  };
  CHECK(relay("r1", 0s, 30s) == "answered");
  CHECK(relay("r2", 100s, 30s) == "not_sent");
  CHECK(relay("r3", 0s, 0s) == "not_sent");
  CHECK(relay("r4", 10s, 60s) == "answered");
  REQUIRE(fixture.group.executed.size() == 2);
  CHECK(fixture.group.executed[1].id == "r4");
}

// Guards against statements that reach an endpoint after its drain bound because they waited for
// one of the gateway's connections.
TEST_CASE("a gateway does not send a statement that has waited until the drain bound was near") {
  RelayFixture fixture;
  const auto pool = fixture.gate.cluster.FindEndpoint("p");
  pool->SetLimits(1, 1, 0);
  SessionState state;
  state.session = 7;
  SessionTransaction transaction;  // Holds the only connection.
  CHECK_FALSE(fixture
                  .Await(fixture.entry.runner.RunInTransaction(fixture.Job("w1", "WRITE 1 x", true),
                                                               &state, &transaction))
                  .error);
  fixture.route.statement_timeout = 10s;
  SessionState waiting_state;
  waiting_state.session = 8;
  std::optional<StatementAnswer> waited;
  asio::co_spawn(fixture.context,
                 fixture.entry.runner.Run(fixture.Job("w2", "WRITE 2 x", true), &waiting_state),
                 [&waited](std::exception_ptr, StatementAnswer answer) { waited = answer; });
  const TimePoint limit = BootNow() + 60s;
  while (pool->busy() < 2 && BootNow() < limit) {
    fixture.context.run_one_for(std::chrono::milliseconds(20));
  }
  REQUIRE(pool->busy() == 2);
  EndpointRecord record = pool->record();
  record.leaving = true;
  record.revision = {0, 3};
  SECTION("the endpoint is the primary") {}
  SECTION("the gateway takes it for a replica") {
    fixture.gate.cluster.FindGroup("ledger")->ClearPrimary("p", "test");
  }
  fixture.gate.cluster.SetDrainBound(Duration{});
  fixture.gate.cluster.ApplyEndpoint(record);
  fixture.gate.cluster.RunMaintenance();
  fixture.entry.runner.Discard(&transaction);
  while (!waited && BootNow() < limit) {
    fixture.context.run_one_for(std::chrono::milliseconds(20));
  }
  REQUIRE(waited);
  REQUIRE(waited->error);
  CHECK(HasNotRun(*waited->error));
  CHECK(fixture.group.executed.size() == 1);
}

// Failure: a gateway has lost power or is cut off. Connections to the gateway can be opened, but it
// answers no call.
TEST_CASE(
    "when a gateway does not answer, a daemon sends a read to another gateway before the read's "
    "time limit is used up") {
  RelayFixture fixture;
  // A gateway that accepts connections and never answers.
  asio::ip::tcp::acceptor silent(fixture.context,
                                 asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  RelayRouter& relays = fixture.entry.cluster.relays();
  Peer lost;
  const EndpointRecord primary = fixture.entry.cluster.FindEndpoint("p")->record();
  // The names of the gateways determine which one is tried first; the loop finds a name with which
  // the silent gateway is tried first.
  for (int number = 0;
       lost.daemon.empty() || relays.UsableGateways(primary)[0].daemon != lost.daemon; ++number) {
    lost = {"silent" + std::to_string(number), address, "fd1"};
    fixture.entry.cluster.SetPeers({{"gate", fixture.gate.peers.address(), "fd1"},
                                    {"entry", fixture.entry.peers.address(), "fd1"},
                                    lost});
  }
  asio::co_spawn(fixture.context, relays.WatchPeers(), asio::detached);
  SessionState state;
  const auto read =
      fixture.Await(fixture.entry.runner.Run(fixture.Job("r1", "READ 1", false), &state));
  CHECK_FALSE(read.error);
  CHECK(relays.health().IsLost(lost));
  // A write that could not be sent to the silent gateway goes to another gateway, as reads do.
  relays.health().NoteAnswer(lost, BootNow());
  const auto write =
      fixture.Await(fixture.entry.runner.Run(fixture.Job("w1", "WRITE 1 x", true), &state));
  CHECK_FALSE(write.error);
  CHECK(fixture.group.executed.size() == 2);
}

// Failure: all daemons of a large fleet restart at the same time, and each learns of the others
// before it can call them.
TEST_CASE(
    "in a large fleet, a daemon that is not a gateway of an endpoint sends its statements for the "
    "endpoint through a gateway as soon as it can call other daemons") {
  asio::io_context context{1};
  LineCodec codec;
  KeyRing keys("k", {{"k", "0123456789abcdef0123456789abcdef"}});
  PeerNetwork network(context.get_executor(), "d0", &keys);
  Cluster cluster(context.get_executor(), &codec, "d0", "fd0");
  RouteTable table;
  table.version = 1;
  table.services["ledger"] = {"ledger", 46, 1};
  cluster.ApplyRoutes(table);
  EndpointRecord record;
  record.id = "p";
  record.service = "ledger";
  record.failure_domain = "fd1";
  record.address = "127.0.0.1:1";
  record.revision = {0, 1};
  cluster.ApplyEndpoint(record);
  std::vector<Peer> fleet;
  for (int number = 0; number < 90; ++number) {
    fleet.push_back(
        {"d" + std::to_string(number), "127.0.0.1:1", "fd" + std::to_string(number % 3)});
  }
  cluster.SetPeers(fleet);
  cluster.SetNetwork(&network);
  CHECK(cluster.FindEndpoint("p")->is_relayed());
}

// Guards against a takeover that starts only seconds after a failure domain was cut off: in a large
// fleet the watchers may have no statement at a primary there for that long.
TEST_CASE(
    "when the lead watcher of another failure domain does not answer, the primaries of that domain "
    "are probed") {
  std::vector<Peer> fleet;
  for (int number = 0; number < 90; ++number) {
    fleet.push_back(
        {"d" + std::to_string(number), "127.0.0.1:1", "fd" + std::to_string(number % 3)});
  }
  GatewayPlan plan("d0");
  plan.SetPeers(fleet);
  const std::string self = plan.LeadWatcher("fd0", [](const Peer&) { return true; })->daemon;
  asio::io_context context{1};
  LineCodec codec;
  Metrics metrics;
  KeyRing keys("k", {{"k", "0123456789abcdef0123456789abcdef"}});
  PeerNetwork network(context.get_executor(), self, &keys);
  Cluster cluster(context.get_executor(), &codec, self, "fd0");
  StatementRunner runner(&cluster, &codec, &metrics);
  for (const char* domain : {"fd0", "fd1"}) {
    EndpointRecord record;
    record.id = std::string("primary-") + domain;
    record.service = std::string("ledger-") + domain;
    record.failure_domain = domain;
    record.address = "127.0.0.1:1";
    record.claims_primary = true;
    record.revision = {0, 1};
    cluster.ApplyEndpoint(record);
  }
  cluster.SetPeers(fleet);
  cluster.SetNetwork(&network);
  EvidenceExchange exchange(context.get_executor(), &cluster, &runner);
  exchange.Start();
  const TimePoint limit = BootNow() + 60s;
  while (!cluster.FindEndpoint("primary-fd1")->suspected && BootNow() < limit) {
    context.run_one_for(std::chrono::milliseconds(20));
  }
  CHECK(cluster.FindEndpoint("primary-fd1")->suspected);
}

// Accepts all promotion requests and counts them.
class CountingPromotions : public PromotionApi {
 public:
  asio::awaitable<PromotionOutcome> Promote(std::string, std::string, uint64_t) override {
    ++this->orders;
    co_return PromotionOutcome::kAccepted;
  }

  int orders = 0;
};

TEST_CASE(
    "a primary that answers again after a network cut is not replaced, because a promotion "
    "interrupts the service") {
  RelayFixture fixture;
  // Both daemons consider the endpoints down, although the endpoints are reachable again.
  for (const char* id : {"p", "a"}) {
    EndpointRecord record = fixture.gate.cluster.FindEndpoint(id)->record();
    record.revision = {0, 3};
    fixture.entry.cluster.ApplyEndpoint(record);
    for (RelayFixture::Daemon* daemon : {&fixture.gate, &fixture.entry}) {
      daemon->cluster.FindEndpoint(id)->down = true;
      // Delays the next probe of the endpoint beyond the end of the test.
      daemon->cluster.FindEndpoint(id)->next_down_probe = BootNow() + 60s;
    }
  }
  ServiceGroup* group = fixture.entry.cluster.FindGroup("ledger");
  group->ClearPrimary("p", "test");
  MemoryStore store;
  CountingPromotions promotions;
  TakeoverController takeover_controller(fixture.context.get_executor(), &fixture.entry.cluster,
                                         &store, &promotions, &fixture.entry.metrics, "entry");
  takeover_controller.Start();
  const TimePoint limit = BootNow() + 60s;
  while (group->Primary() == nullptr && promotions.orders == 0 && BootNow() < limit) {
    fixture.context.run_one_for(std::chrono::milliseconds(20));
  }
  CHECK(promotions.orders == 0);
  REQUIRE(group->Primary() != nullptr);
  CHECK(group->Primary()->record().id == "p");
}

TEST_CASE(
    "when no daemon can reach the primary, a caller's write fails with an error that guarantees "
    "that the write has not run") {
  RelayFixture fixture;
  fixture.gate.cluster.FindEndpoint("p")->down = true;
  fixture.route.statement_timeout = 300ms;
  SessionState state;
  const auto answer =
      fixture.Await(fixture.entry.runner.Run(fixture.Job("w1", "WRITE 1 x", true), &state));
  CHECK(answer.error == StatementError::kOverloaded);
  CHECK(fixture.group.executed.empty());
}

// Guards against stale reads: a position that seems fresher than it is would let a replica serve a
// read that lacks an acknowledged commit.
TEST_CASE(
    "a log position from another daemon never counts as fresher than the daemon that read it knows "
    "it to be") {
  RelayFixture fixture;
  const TimePoint read = BootNow() - 400ms;
  fixture.gate.cluster.FindGroup("ledger")->freshness.Record(read, {1, 10});
  const TimePoint asked = BootNow();
  const auto evidence = CollectEvidence(&fixture.gate.cluster, BootNow());
  REQUIRE(evidence.size() == 1);
  const auto decoded = DecodeEvidence(EncodeEvidence(evidence));
  RecordEvidence(&fixture.entry.cluster, decoded, asked);
  const auto newest = fixture.entry.cluster.FindGroup("ledger")->freshness.Newest();
  REQUIRE(newest);
  CHECK(newest->sent <= read);
  CHECK(newest->position == LogPosition{1, 10});
}

}  // namespace
}  // namespace poplarmoor::platform
