#include "session/organisation/limit_service.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "kernel/organisation/issuer_plan.h"
#include "net/address.h"
#include "net/key_ring.h"
#include "net/peer_network.h"
#include "platform/line_codec.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/session_server.h"
#include "session/statement_runner.h"
#include "telemetry/metrics.h"
#include "tests/platform/fake_line_endpoint.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr char kName[] = "school";
constexpr char kKey[] = "school-key";

EntryWrite WriteOfEntry(bool known) {
  EntryWrite write;
  write.known = known;
  write.sent = BootNow();
  // Longer than a test, so that only answers of other daemons end the wait of a new daemon.
  write.validity = write.listed_after = 1h;
  return write;
}

RouteTable Routes(double rate, double burst) {
  RouteTable table;
  table.version = 1;
  table.services["ledger"] = {"ledger", 40, 0};  // There is no replica.
  DatabaseRoute route;
  route.name = route.database = "orders";
  route.service = "ledger";
  route.statement_timeout = 20s;
  table.routes["orders"] = route;
  route.name = route.database = "public";
  route.requires_key = false;
  table.routes["public"] = route;
  table.organisations.emplace();
  table.organisations->Add({kName, rate, burst}, {kKey});
  return table;
}

ProcessSettings SettingsOf(const std::string& daemon, const std::string& domain) {
  ProcessSettings settings;
  settings.daemon = daemon;
  settings.failure_domain = domain;
  // Longer than a test, so that hardly any token accrues.
  settings.limit_tolerance.window = std::chrono::hours(1);
  return settings;
}

// Daemons with real messages, two in each of three failure domains.
class LimitFixture {
 public:
  struct Daemon {
    Daemon(asio::io_context* context, const LineCodec* codec, const KeyRing* keys, size_t number)
        : name("d" + std::to_string(number)),
          domain("fd" + std::to_string(number % 3)),
          cluster(context->get_executor(), codec, this->name, this->domain),
          peers(context->get_executor(), this->name, keys) {
      this->peers.Listen("127.0.0.1:0");
      ProcessSettings settings = SettingsOf(this->name, this->domain);
      settings.peer_address = this->peers.address();
      this->limits = std::make_unique<LimitService>(context->get_executor(), &this->cluster,
                                                    &this->metrics, settings);
      this->limits->Attach(&this->peers);
      this->cluster.ApplyRoutes(Routes(1000, 1000));
      this->cluster.relays().SetNetwork(&this->peers);
    }

    Peer AsPeer() const { return {this->name, this->peers.address(), this->domain}; }
    double Issued() const { return this->metrics.Value(Metric::kTokensIssued, {kName}); }

    std::string name;
    std::string domain;
    Metrics metrics;
    Cluster cluster;
    PeerNetwork peers;
    std::unique_ptr<LimitService> limits;
  };

  LimitFixture() : keys("k", {{"k", "0123456789abcdef0123456789abcdef"}}) {
    for (size_t number = 0; number < 6; ++number) {
      this->daemons.push_back(
          std::make_unique<Daemon>(&this->context, &this->codec, &this->keys, number));
      this->fleet.push_back(this->daemons.back()->AsPeer());
    }
    this->ListFleet();
    for (const auto& daemon : this->daemons) {
      daemon->limits->NoteEntryWritten(WriteOfEntry(true));
    }
    const bool first_issues = IssuerPlan(this->fleet).IsIssuer(kName, this->fleet[0]);
    this->issuer = this->daemons[first_issues ? 0 : 3].get();
    this->entry = this->daemons[first_issues ? 3 : 0].get();
  }

  // Lets all daemons list the fleet.
  void ListFleet() {
    for (const auto& daemon : this->daemons) {
      daemon->cluster.SetPeers(this->fleet);
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

  Admission Admit() {
    std::optional<Admission> result;
    asio::co_spawn(this->context, this->entry->limits->Admit(kName, BootNow() + 60s),
                   [&result](std::exception_ptr failure, Admission admission) {
                     REQUIRE_FALSE(failure);
                     result = std::move(admission);
                   });
    this->RunUntil([&result] { return result.has_value(); });
    return *result;
  }

  // Asks until a token is granted: on a busy machine, answers may take longer than a request waits.
  bool IsServed() {
    for (const TimePoint limit = BootNow() + 60s; BootNow() < limit;) {
      if (!this->Admit().IsRefused()) {
        return true;
      }
    }
    return false;
  }

  double IssuedByOthers() const {
    double issued = 0;
    for (const auto& daemon : this->daemons) {
      issued += daemon.get() == this->issuer ? 0.0 : daemon->Issued();
    }
    return issued;
  }

  asio::io_context context{1};
  LineCodec codec;
  KeyRing keys;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Peer> fleet;
  Daemon* issuer = nullptr;  // Issuer in the failure domain of `entry`.
  Daemon* entry = nullptr;   // A daemon that is no issuer.
};

TEST_CASE("an entry daemon gets tokens from the issuer of its own failure domain") {
  LimitFixture fixture;
  CHECK(fixture.IsServed());
  CHECK(fixture.issuer->Issued() + fixture.IssuedByOthers() >= 1);
  CHECK(fixture.entry->Issued() == 0);
}

// Guards against an organisation that is refused, although it is below its limit, because one of
// its issuers is gone.
TEST_CASE("when the issuer of the domain has died, the issuers of other domains serve") {
  LimitFixture fixture;
  fixture.issuer->peers.Stop();
  CHECK(fixture.IsServed());
  CHECK(fixture.IssuedByOthers() >= 1);
}

TEST_CASE("when the issuer of the domain is frozen, the issuers of other domains serve") {
  LimitFixture fixture;
  // Accepts connections and never answers.
  tcp::acceptor frozen(fixture.context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  for (Peer& peer : fixture.fleet) {
    if (peer.daemon == fixture.issuer->name) {
      peer.address = "127.0.0.1:" + std::to_string(frozen.local_endpoint().port());
    }
  }
  fixture.ListFleet();
  CHECK(fixture.IsServed());
  CHECK(fixture.issuer->Issued() == 0);
}

// Guards against a stopping issuer and its successor that both issue the same share.
TEST_CASE("a stopping issuer issues no tokens, and the others serve") {
  LimitFixture fixture;
  fixture.issuer->limits->Stop();
  CHECK(fixture.IsServed());
  CHECK(fixture.issuer->Issued() == 0);
  CHECK_FALSE(fixture.issuer->limits->MayIssue());
}

// Guards against a new daemon that issues a share while another daemon still does.
TEST_CASE("a new daemon issues tokens after the others have added it to their lists") {
  LimitFixture fixture;
  std::unique_ptr<LimitFixture::Daemon> joining;
  // A name with which the new daemon replaces the issuer of its domain.
  size_t number = 6;
  for (;; number += 3) {
    std::vector<Peer> grown = fixture.fleet;
    grown.push_back({"d" + std::to_string(number), "", "fd0"});
    if (IssuerPlan(grown).IsIssuer(kName, grown.back())) {
      break;
    }
  }
  joining = std::make_unique<LimitFixture::Daemon>(&fixture.context, &fixture.codec, &fixture.keys,
                                                   number);
  joining->cluster.SetPeers(fixture.fleet);
  joining->limits->NoteEntryWritten(WriteOfEntry(false));
  CHECK_FALSE(joining->limits->MayIssue());
  joining->limits->Start();
  fixture.RunUntil([&joining] { return joining->limits->MayIssue(); });
  // The daemon that was the issuer has added the new one and has no bucket any more.
  fixture.entry = fixture.issuer;
  CHECK(fixture.IsServed());
  CHECK(fixture.issuer->Issued() == 0);
}

// One daemon with one endpoint and a limit that is used up after two operations.
class SessionFixture {
 public:
  SessionFixture()
      : cluster(this->context.get_executor(), &this->codec, "d1", "fd1"),
        runner(&this->cluster, &this->codec, &this->metrics),
        limits(this->context.get_executor(),
               &this->cluster,
               &this->metrics,
               SettingsOf("d1", "fd1")),
        server(this->context.get_executor(), &this->cluster, &this->runner, &this->codec),
        endpoint(this->context.get_executor(), "p", &this->group) {
    this->group.primary = "p";
    EndpointRecord record;
    record.id = "p";
    record.service = "ledger";
    record.address = this->endpoint.address();
    record.failure_domain = "fd1";
    record.slots = 3;
    record.claims_primary = true;
    record.revision = {0, 1};
    this->cluster.ApplyEndpoint(record);
    this->cluster.ApplyRoutes(Routes(1e-6, 5));
    this->limits.NoteEntryWritten(WriteOfEntry(true));
    tcp::acceptor probe(this->context, tcp::endpoint(tcp::v4(), 0));
    this->address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    probe.close();
    this->server.SetLimits(&this->limits);
    this->server.Listen(this->address, 100);
  }

  // Sends a line and returns the answer up to its READY line, whose state is the last character.
  std::string Exchange(tcp::socket* socket, const std::string& line) {
    asio::write(*socket, asio::buffer(line + "\r\n"));
    socket->non_blocking(true);
    std::string answer;
    const TimePoint limit = BootNow() + 60s;
    size_t ready = std::string::npos;
    while ((ready == std::string::npos || answer.find("\r\n", ready) == std::string::npos) &&
           BootNow() < limit) {
      this->context.run_one_for(std::chrono::milliseconds(20));
      char bytes[4096];
      boost::system::error_code error;
      const size_t size = socket->read_some(asio::buffer(bytes), error);
      answer.append(bytes, size);
      ready = answer.find("READY ");
    }
    REQUIRE(ready != std::string::npos);
    return answer.substr(0, ready + 7);
  }

  tcp::socket Open(const std::string& database, const std::string& key) {
    tcp::socket socket(this->context);
    socket.connect(ParseAddress(this->address));
    this->Exchange(&socket, "OPEN " + database + " " + key);
    return socket;
  }

  asio::io_context context{1};
  LineCodec codec;
  Metrics metrics;
  FakeGroup group;
  Cluster cluster;
  StatementRunner runner;
  LimitService limits;
  SessionServer server;
  FakeLineEndpoint endpoint;
  std::string address;
};

// Guards against operations beyond the limit that reach an endpoint.
TEST_CASE(
    "operations beyond the limit are refused with the organisation and the limit before they reach "
    "an endpoint") {
  SessionFixture fixture;
  tcp::socket caller = fixture.Open("orders", kKey);
  // One operation is a single statement, the other one a transaction with two statements.
  CHECK(fixture.Exchange(&caller, "QUERY q1 WRITE 1 x").find("signed.q1") != std::string::npos);
  CHECK(fixture.Exchange(&caller, "QUERY q2 BEGIN").ends_with("READY T"));
  fixture.Exchange(&caller, "QUERY q3 WRITE 1 x");
  fixture.Exchange(&caller, "QUERY q4 WRITE 2 x");
  CHECK(fixture.Exchange(&caller, "QUERY q5 COMMIT").ends_with("READY I"));
  const size_t executed = fixture.group.executed.size();
  const std::string refused = fixture.Exchange(&caller, "QUERY q6 WRITE 1 x");
  CHECK(refused.starts_with("ERROR BUSY"));
  CHECK(refused.find("organisation school") != std::string::npos);
  CHECK(refused.find("1e-06 operations/s") != std::string::npos);
  CHECK(fixture.Exchange(&caller, "QUERY q7 BEGIN").ends_with("READY T"));
  CHECK(fixture.Exchange(&caller, "QUERY q8 WRITE 1 x").ends_with("READY E"));
  CHECK(fixture.Exchange(&caller, "QUERY q9 ROLLBACK").ends_with("READY I"));
  fixture.Exchange(&caller, "QUERY q10 BEGIN");
  CHECK(fixture.Exchange(&caller, "QUERY q11 COMMIT").starts_with("ERROR BUSY"));
  CHECK(fixture.group.executed.size() == executed);
  CHECK(fixture.metrics.Value(Metric::kLimitRefusals, {kName}) == 3);
  // Sessions without an organisation have no limit.
  tcp::socket other = fixture.Open("public", "unknown");
  CHECK(fixture.Exchange(&other, "QUERY q12 WRITE 1 x").find("signed.q12") != std::string::npos);
}

}  // namespace
}  // namespace poplarmoor::platform
