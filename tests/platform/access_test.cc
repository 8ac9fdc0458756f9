#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "net/address.h"
#include "net/key_ring.h"
#include "net/peer_network.h"
#include "platform/line_codec.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/relay_server.h"
#include "session/session_server.h"
#include "session/statement_runner.h"
#include "telemetry/metrics.h"
#include "tests/platform/fake_line_endpoint.h"
#include "wire/relay_codec.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Two daemons with callers: "gate" reaches the endpoint, "entry" relays its statements to "gate".
class AccessFixture {
 public:
  struct Daemon {
    Daemon(asio::io_context* context, const LineCodec* codec, const KeyRing* keys, std::string name)
        : cluster(context->get_executor(), codec, name, "fd1"),
          runner(&this->cluster, codec, &this->metrics),
          relays(context->get_executor(), &this->cluster),
          sessions(context->get_executor(), &this->cluster, &this->runner, codec),
          peers(context->get_executor(), name, keys) {
      this->cluster.access().SetMetrics(&this->metrics);
      this->relays.RegisterHandlers(&this->peers);
      this->peers.Listen("127.0.0.1:0");
      tcp::acceptor probe(*context, tcp::endpoint(tcp::v4(), 0));
      this->address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
      probe.close();
      this->sessions.Listen(this->address, 100);
    }

    // Puts the next version of the configuration into force.
    void Apply(const std::map<std::string, std::string>& organisation_by_key) {
      RouteTable table = this->cluster.routes();
      ++table.version;
      table.services["ledger"] = {"ledger", this->connections, 0};  // There is no replica.
      table.transaction_idle_limit = 1h;
      for (const auto& [database, requires_key] :
           {std::pair<std::string, bool>{"orders", true}, {"open", false}}) {
        DatabaseRoute& route = table.routes[database];
        route.name = route.database = database;
        route.service = "ledger";
        route.statement_timeout = 1h;  // No statement ends because of its deadline.
        route.requires_key = requires_key;
      }
      table.organisations.emplace();
      for (const auto& [key, name] : organisation_by_key) {
        table.organisations->Add({name, 1e6, 1e6}, {key});
      }
      this->cluster.ApplyRoutes(table);
    }

    Metrics metrics;
    Cluster cluster;
    StatementRunner runner;
    RelayServer relays;
    SessionServer sessions;
    PeerNetwork peers;
    uint32_t connections = 40;  // Limit of the endpoint.
    std::string address;
  };

  AccessFixture() {
    this->group.primary = "p";
    EndpointRecord record;
    record.id = "p";
    record.service = "ledger";
    record.failure_domain = "fd1";
    record.claims_primary = true;
    record.revision = {0, 2};
    for (Daemon* daemon : {&this->gate, &this->entry}) {
      daemon->Apply({{"k-north", "north"}, {"k-south", "south"}});
      daemon->cluster.relays().SetNetwork(&daemon->peers);
      daemon->cluster.SetPeers({{"gate", this->gate.peers.address(), "fd1"},
                                {"entry", this->entry.peers.address(), "fd1"}});
      record.address = daemon == &this->gate ? this->endpoint.address() : "127.0.0.1:1";
      daemon->cluster.ApplyEndpoint(record);
    }
    this->entry.cluster.FindEndpoint("p")->down = true;
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
  KeyRing keys{"k", {{"k", "0123456789abcdef0123456789abcdef"}}};
  FakeGroup group;
  FakeLineEndpoint endpoint{this->context.get_executor(), "p", &this->group};
  Daemon gate{&this->context, &this->codec, &this->keys, "gate"};
  Daemon entry{&this->context, &this->codec, &this->keys, "entry"};
};

// A caller's connection to a daemon.
class KeyCaller {
 public:
  KeyCaller(AccessFixture* fixture, const AccessFixture::Daemon& daemon, const std::string& opening)
      : fixture(fixture), socket(fixture->context) {
    this->socket.connect(ParseAddress(daemon.address));
    this->socket.non_blocking(true);
    this->Send("OPEN " + opening);
  }

  void Send(const std::string& line) { asio::write(this->socket, asio::buffer(line + "\r\n")); }
  void Query(const std::string& text) { this->Send("QUERY q" + text); }

  // Reads until the text has come or, if the text is empty, until the daemon closes the connection.
  // Returns all that was read.
  std::string ReadUntil(const std::string& text) {
    std::string received;
    this->fixture->RunUntil([&] {
      char bytes[4096];
      boost::system::error_code error;
      const size_t size = this->socket.read_some(asio::buffer(bytes), error);
      received.append(bytes, size);
      const bool closed = error && error != asio::error::would_block;
      return closed || (!text.empty() && received.find(text) != std::string::npos);
    });
    return received;
  }

  AccessFixture* fixture;
  tcp::socket socket;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against callers without a valid key, and against a daemon that serves statements although
// it cannot know whether their key was withdrawn.
TEST_CASE("a session needs a key of the configuration and a copy that is younger than the bound") {
  AccessFixture fixture;
  for (const char* opening : {"orders never", "orders"}) {
    KeyCaller stranger(&fixture, fixture.gate, opening);
    CHECK(Contains(stranger.ReadUntil(""), "ERROR AUTHFAIL"));
  }
  KeyCaller known(&fixture, fixture.gate, "orders k-north");
  CHECK_FALSE(Contains(known.ReadUntil("READY"), "ERROR"));
  KeyCaller keyless(&fixture, fixture.gate, "open never");
  CHECK_FALSE(Contains(keyless.ReadUntil("READY"), "ERROR"));
  AccessControl& access = fixture.gate.cluster.access();
  access.SetRevocationBound(5s);
  access.NoteVerified(BootNow() - 4875ms);
  KeyCaller late(&fixture, fixture.gate, "orders k-north");
  CHECK(Contains(late.ReadUntil(""), "ERROR BUSY"));
  known.Query("1 READ 1");
  CHECK(Contains(known.ReadUntil("READY"), "ERROR BUSY"));
  CHECK(fixture.group.executed.empty());
  CHECK(fixture.gate.metrics.Value(Metric::kAccessRefused, {"statement", "copy_too_old"}) == 1);
  CHECK(fixture.gate.metrics.Value(Metric::kAccessRefused, {"session", "unknown_key"}) == 2);
  keyless.Query("2 READ 1");
  CHECK(Contains(keyless.ReadUntil("READY"), "ROW data"));
  access.NoteVerified(BootNow() + 60s);  // As long as the test takes, the copy is young again.
  known.Query("3 READ 1");
  CHECK(Contains(known.ReadUntil("READY"), "ROW data"));
}

// Guards against a withdrawn key whose transaction keeps its locks or commits, at the daemon that
// has the connection and at one that relays.
TEST_CASE("a withdrawn key ends its transactions, and the session after its next statement") {
  AccessFixture fixture;
  KeyCaller direct(&fixture, fixture.gate, "orders k-north");
  KeyCaller relayed(&fixture, fixture.entry, "orders k-north");
  KeyCaller other(&fixture, fixture.gate, "orders k-south");
  for (KeyCaller* caller : {&direct, &relayed, &other}) {
    caller->ReadUntil("READY");
    caller->Query("1 BEGIN");
    caller->ReadUntil("READY T");
    caller->Query("2 WRITE 1 x");
    caller->ReadUntil("READY T");
  }
  fixture.gate.Apply({{"k-south", "south"}});
  fixture.RunUntil([&] { return fixture.endpoint.rolled_back == 2; });
  fixture.entry.Apply({{"k-south", "south"}});
  for (KeyCaller* caller : {&direct, &relayed}) {
    caller->Query("3 COMMIT");
    CHECK(Contains(caller->ReadUntil(""), "ERROR AUTHFAIL"));
  }
  other.Query("4 COMMIT");
  CHECK(Contains(other.ReadUntil("READY"), "COMPLETE"));
  CHECK(fixture.endpoint.rolled_back == 2);
}

// Guards against a statement that a daemon with an older configuration relays, and against a new
// key that is refused by a gateway with an older configuration.
TEST_CASE("a gateway refuses a key that its newer configuration has withdrawn") {
  AccessFixture fixture;
  KeyCaller caller(&fixture, fixture.entry, "orders k-north");
  caller.ReadUntil("READY");
  fixture.gate.Apply({{"k-south", "south"}});
  caller.Query("1 WRITE 1 x");
  CHECK(Contains(caller.ReadUntil(""), "ERROR AUTHFAIL"));
  CHECK(fixture.group.executed.empty());
  fixture.entry.Apply({{"k-south", "south"}});
  fixture.entry.Apply({{"k-new", "north"}});
  KeyCaller added(&fixture, fixture.entry, "orders k-new");
  added.ReadUntil("READY");
  added.Query("2 WRITE 1 x");
  CHECK(Contains(added.ReadUntil("READY"), "COMPLETE"));
}

// Guards against a statement that waits for a connection until its deadline, or runs after the
// wait, although its key was withdrawn.
TEST_CASE("a statement that waits is refused as soon as its key is withdrawn") {
  for (const bool relayed : {false, true}) {
    AccessFixture fixture;
    fixture.gate.connections = 5;  // One statement at a time for each of the two daemons.
    fixture.gate.Apply({{"k-north", "north"}, {"k-south", "south"}});
    KeyCaller caller(&fixture, relayed ? fixture.entry : fixture.gate, "orders k-north");
    caller.ReadUntil("READY");
    const auto pool = fixture.gate.cluster.FindEndpoint("p");
    EndpointLease held;
    const SessionState none;
    asio::co_spawn(fixture.context, pool->AcquireDirect(0, false, 1h, none),
                   [&](std::exception_ptr, EndpointLease lease) { held = std::move(lease); });
    fixture.RunUntil([&] { return held.connection != nullptr; });
    caller.Query("1 WRITE 1 x");
    fixture.RunUntil([&] { return pool->busy() == 2; });
    fixture.gate.Apply({{"k-south", "south"}});
    CHECK(Contains(caller.ReadUntil(""), "ERROR AUTHFAIL"));
    // The abandoned wait must not keep the connection that it is granted later.
    pool->Release(std::move(held));
    fixture.RunUntil([&] { return pool->busy() == 0; });
    CHECK(fixture.group.executed.empty());
  }
}

// Guards against a statement that runs with a withdrawn key because the sender's copy of the
// configuration is taken to be as old as when the request was sent, although a cut held it up.
TEST_CASE("a request that was held up makes the sender's copy older at the gateway") {
  AccessFixture fixture;
  fixture.gate.cluster.access().SetRevocationBound(1h);
  RelayRequest request;
  request.endpoint = "p";
  request.opening = kOpeningNames.NameOf(Opening::kNone);
  request.text = "READ 1";
  request.organisation = "north";
  request.key = KeyIdOf("k-north");
  request.config_version = fixture.gate.cluster.routes().version;
  request.clock = 7;
  request.limit_us = static_cast<uint64_t>(Duration(2h).count());
  const auto outcome_after = [&](Duration held) {
    request.verified_age_us = ToVerifiedAge(50min);
    request.sent_us = static_cast<uint64_t>((BootNow() - held).time_since_epoch().count());
    std::optional<std::string> outcome;
    asio::co_spawn(
        fixture.context,
        fixture.entry.peers.Call(fixture.gate.peers.address(),
                                 PeerMessage(kRelayMessage, EncodeRelayRequest(request)), 60s),
        [&outcome](std::exception_ptr, PeerMessage answer) {
          outcome = DecodeRelayAnswer(answer.body).outcome;
        });
    fixture.RunUntil([&outcome] { return outcome.has_value(); });
    return *outcome;
  };
  CHECK(outcome_after(0s) == "answered");
  CHECK(outcome_after(20min) == "not_sent");
  CHECK(fixture.gate.metrics.Value(Metric::kAccessRefused, {"relayed_statement", "copy_too_old"}) ==
        1);
}

}  // namespace
}  // namespace poplarmoor::platform
