#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <set>

#include "net/key_ring.h"
#include "net/peer_network.h"
#include "platform/line_codec.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/connection_metrics.h"
#include "session/relay_server.h"
#include "session/statement_runner.h"
#include "telemetry/metrics.h"
#include "tests/platform/fake_line_endpoint.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;

// Three daemons in a deployment with organisations: "gate1" and "gate2" are the gateways of the
// primary "p", "entry" is too small for it.
class OrganisationFixture {
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

  // @param max_connections Connection limit of the endpoint; two of them are reserved.
  explicit OrganisationFixture(uint32_t max_connections)
      : keys("k", {{"k", "0123456789abcdef0123456789abcdef"}}),
        gate1(&this->context, &this->codec, &this->keys, "gate1"),
        gate2(&this->context, &this->codec, &this->keys, "gate2"),
        entry(&this->context, &this->codec, &this->keys, "entry"),
        endpoint(this->context.get_executor(), "p", &this->group) {
    this->group.primary = "p";
    this->endpoint.max_connections = max_connections;
    RouteTable table;
    table.version = 1;
    table.services["ledger"] = {"ledger", max_connections, 0};
    this->route.name = this->route.database = "orders";
    this->route.service = "ledger";
    this->route.statement_timeout = 20s;
    table.routes["orders"] = this->route;
    table.organisations.emplace();
    for (const std::string& name : Names()) {
      table.organisations->Add({name, 100.0, 100.0}, {"key of " + name});
    }
    EndpointRecord record;
    record.id = "p";
    record.service = "ledger";
    record.failure_domain = "fd1";
    record.slots = 4;
    record.claims_primary = true;
    record.revision = {0, 2};
    record.address = this->endpoint.address();
    for (Daemon* daemon : {&this->gate1, &this->gate2, &this->entry}) {
      daemon->cluster.ApplyRoutes(table);
      daemon->cluster.relays().SetNetwork(&daemon->peers);
      daemon->cluster.SetPeers({{"gate1", this->gate1.peers.address(), "fd1", 0.5},
                                {"gate2", this->gate2.peers.address(), "fd1", 0.5},
                                {"entry", this->entry.peers.address(), "fd1", 0.12}});
      daemon->cluster.ApplyEndpoint(record);
    }
  }

  static std::vector<std::string> Names() {
    return {"north", "south", "west", "east", "hill", "lake", "mill", "park"};
  }

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

  StatementJob Job(const std::string& id, const std::string& text) {
    StatementJob job;
    job.id = id;
    job.text = text;
    job.writes = true;
    job.route = &this->route;
    job.arrived = BootNow();
    job.deadline = job.arrived + this->route.statement_timeout;
    return job;
  }

  static SessionState StateOf(const std::string& organisation, uint64_t session) {
    SessionState state;
    state.session = session;
    state.organisation = organisation;
    return state;
  }

  // Checks that every statement ran on a connection of the organisation whose name its id has.
  void CheckOrganisations() const {
    for (const ExecutedStatement& statement : this->group.executed) {
      INFO(statement.id);
      CHECK(statement.organisation == statement.id.substr(0, statement.id.find('-')));
    }
  }

  asio::io_context context{1};
  LineCodec codec;
  KeyRing keys;
  FakeGroup group;
  DatabaseRoute route;
  Daemon gate1;
  Daemon gate2;
  Daemon entry;
  FakeLineEndpoint endpoint;
};

// Guards against statements that run with the rights of another organisation, and against a
// connection for each statement while there is room to keep them.
TEST_CASE("a connection opened for one organisation is never used for another") {
  OrganisationFixture fixture(22);
  uint64_t session = 0;
  for (int round = 0; round < 4; ++round) {
    for (const std::string& name : OrganisationFixture::Names()) {
      for (OrganisationFixture::Daemon* daemon : {&fixture.entry, &fixture.gate1, &fixture.gate2}) {
        SessionState state = OrganisationFixture::StateOf(name, ++session);
        const auto answer = fixture.Await(daemon->runner.Run(
            fixture.Job(name + "-" + std::to_string(session), "WRITE 1 x"), &state));
        CHECK_FALSE(answer.error);
      }
    }
  }
  CHECK(fixture.group.executed.size() == session);
  fixture.CheckOrganisations();
  // All daemons send an organisation's statements to the same gateway, which keeps the connection.
  CHECK(fixture.endpoint.opened == 8);
}

// Guards against organisations that wait for the idle connections of others, and against openings
// beyond the endpoint's connection limit.
TEST_CASE(
    "when the connections that are idle belong to other organisations, the one that was idle for "
    "longest is closed to make room") {
  OrganisationFixture fixture(6);  // Two connections for each gateway.
  uint64_t session = 0;
  for (int round = 0; round < 3; ++round) {
    for (const std::string& name : OrganisationFixture::Names()) {
      SessionState state = OrganisationFixture::StateOf(name, ++session);
      const auto answer = fixture.Await(fixture.entry.runner.Run(
          fixture.Job(name + "-" + std::to_string(session), "WRITE 1 x"), &state));
      CHECK_FALSE(answer.error);
    }
  }
  fixture.CheckOrganisations();
  CHECK(fixture.endpoint.refused == 0);
  uint64_t evicted = 0;
  double reported = 0;
  double open = 0;
  for (OrganisationFixture::Daemon* gate : {&fixture.gate1, &fixture.gate2}) {
    ConnectionMetrics metrics;
    metrics.Publish(&gate->cluster, &gate->metrics, BootNow());
    evicted += gate->cluster.FindEndpoint("p")->evicted;
    reported += gate->metrics.Value(Metric::kConnectionsEvicted, {"p"});
    for (const std::string& name : OrganisationFixture::Names()) {
      open += gate->metrics.Value(Metric::kOrganisationConnections, {name});
    }
  }
  CHECK(evicted >= 4);
  CHECK(reported == static_cast<double>(evicted));
  // After its start, each gateway uses half of its two connections (StartupConnectionLimit).
  CHECK(open == 2);
}

// Guards against callers of a gateway that wait for the other one, which is stopping, although
// their own daemon reaches the endpoint.
TEST_CASE("while a gateway is stopping, the other gateway serves all organisations itself") {
  OrganisationFixture fixture(22);
  fixture.route.statement_timeout = 2s;
  fixture.gate1.server.Drain();
  uint64_t session = 0;
  for (const std::string& name : OrganisationFixture::Names()) {
    for (OrganisationFixture::Daemon* daemon : {&fixture.entry, &fixture.gate2}) {
      SessionState state = OrganisationFixture::StateOf(name, ++session);
      const auto answer = fixture.Await(daemon->runner.Run(
          fixture.Job(name + "-" + std::to_string(session), "WRITE 1 x"), &state));
      CHECK_FALSE(answer.error);
    }
  }
  CHECK(fixture.gate1.cluster.FindEndpoint("p")->opened == 0);
  fixture.CheckOrganisations();
}

// Failure: a gateway dies while it holds transactions of several organisations.
TEST_CASE(
    "when a gateway dies, its transactions are aborted, those at the other gateway go on, and the "
    "next statements of all organisations are served by the other gateway") {
  OrganisationFixture fixture(42);
  std::map<std::string, SessionState> states;
  std::map<std::string, SessionTransaction> transactions;
  for (const std::string& name : OrganisationFixture::Names()) {
    states[name] = OrganisationFixture::StateOf(name, states.size() + 1);
    const auto begun = fixture.Await(fixture.entry.runner.RunInTransaction(
        fixture.Job(name + "-1", "WRITE 1 x"), &states[name], &transactions[name]));
    REQUIRE_FALSE(begun.error);
  }
  const size_t at_gate1 = fixture.gate1.server.in_progress();
  const size_t at_gate2 = fixture.gate2.server.in_progress();
  REQUIRE(at_gate1 >= 2);
  REQUIRE(at_gate2 >= 2);
  fixture.gate1.peers.Stop();
  fixture.gate1.cluster.FindEndpoint("p")->CloseAll();
  size_t aborted = 0;
  size_t committed = 0;
  for (const std::string& name : OrganisationFixture::Names()) {
    const auto second = fixture.Await(fixture.entry.runner.RunInTransaction(
        fixture.Job(name + "-2", "WRITE 2 x"), &states[name], &transactions[name]));
    if (second.error) {
      CHECK(second.error == StatementError::kAborted);
      ++aborted;
    } else {
      const auto commit = fixture.Await(fixture.entry.runner.Commit(
          fixture.Job(name + "-3", "COMMIT"), &states[name], &transactions[name]));
      CHECK_FALSE(commit.error);
      ++committed;
    }
    const auto next = fixture.Await(
        fixture.entry.runner.Run(fixture.Job(name + "-4", "WRITE 3 x"), &states[name]));
    CHECK_FALSE(next.error);
  }
  CHECK(aborted == at_gate1);
  CHECK(committed == at_gate2);
  fixture.CheckOrganisations();
}

}  // namespace
}  // namespace poplarmoor::platform
