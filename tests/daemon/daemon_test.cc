#include "daemon/daemon.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "daemon/control_plane.h"
#include "daemon/polling_cluster_view.h"
#include "net/address.h"
#include "net/http_connection.h"
#include "net/http_message.h"
#include "standins/endpoint_server.h"
#include "standins/platform_server.h"

namespace poplarmoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

const std::string kOperatorToken = "operator token for tests";

/// @returns An address whose port was free during the call. Two daemons must know each other's
///     address before they start, so they cannot let the system choose the port (port 0).
std::string FindFreeAddress() {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return FormatAddress(acceptor.local_endpoint());
}

struct Answer {
  unsigned status = 0;
  json body;
};

Answer Send(const std::string& address, HttpRequest request) {
  asio::io_context context;
  HttpConnection connection(context.get_executor(), address);
  auto exchange = [&]() -> asio::awaitable<HttpResponse> {
    co_await connection.Connect(20000ms);
    co_return co_await connection.Exchange(request, 20000ms);
  };
  auto future = asio::co_spawn(context, exchange(), asio::use_future);
  context.run();
  const HttpResponse response = future.get();
  return {response.status, json::parse(response.body, nullptr, false)};
}

Answer Post(const std::string& address, const std::string& path, const json& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = path;
  request.body = body.dump();
  return Send(address, request);
}

Answer Get(const std::string& address, const std::string& path, const std::string& token = "") {
  HttpRequest request;
  request.target = path;
  if (!token.empty()) {
    request.headers["authorization"] = "Bearer " + token;
  }
  return Send(address, request);
}

/// A platform, a group of three endpoints and two daemons in different failure domains. Daemon d1
/// owns the primary e1, so d2 has to forward requests for the primary to d1.
struct TwoDaemonFixture {
  TwoDaemonFixture() {
    this->StartEndpoint("e1", "a", "");
    this->StartEndpoint("e2", "b", this->endpoints[0]->address());
    this->StartEndpoint("e3", "b", this->endpoints[0]->address());
    json group{{"service", "ledger"},
               {"term", 1},
               {"phase", "serving"},
               {"primary", "e1"},
               {"proposer", ""},
               {"endpoints", json::array()},
               {"term_starts", {{{"term", 1}, {"index", 0}}}}};
    const std::vector<std::string> domains{"a", "b", "b"};
    for (size_t i = 0; i < 3; ++i) {
      group["endpoints"].push_back({{"name", "e" + std::to_string(i + 1)},
                                    {"address", this->endpoints[i]->address()},
                                    {"failure_domain", domains[i]}});
    }
    const json common{
        {"deployment", "test"},
        {"sites", {{{"name", "s1"}, {"failure_domain", "a"}}}},
        {"pools", {{{"name", "p"}, {"slots", 3}, {"connections", 25}, {"connect_ms", 1}}}}};
    const json service{{"name", "ledger"}, {"pool", "p"}, {"sites", {"s1"}}};
    json objects = json::array();
    objects.push_back({{"kind", "group"}, {"name", "ledger"}, {"value", group}});
    objects.push_back({{"kind", "config"}, {"name", "common"}, {"value", common}});
    objects.push_back({{"kind", "config"}, {"name", "service.ledger"}, {"value", service}});
    this->platform.Seed(json{{"objects", objects}, {"vms", json::array()}}.dump());
    this->platform.Start("127.0.0.1:0");
    const std::vector<SeedPeer> peers{{"d1", FindFreeAddress(), "a"},
                                      {"d2", FindFreeAddress(), "b"}};
    for (const SeedPeer& peer : peers) {
      DaemonSettings settings;
      settings.daemon = peer.daemon;
      settings.failure_domain = peer.failure_domain;
      settings.listen = {"127.0.0.1:0", "127.0.0.1:0", peer.address};
      settings.platform = this->platform.address();
      settings.seed_peers = peers;
      settings.threads = 2;
      KeySet keys;
      keys.current_key_id = "k";
      keys.keys["k"] = "a shared secret for tests";
      this->daemons.push_back(std::make_unique<Daemon>(settings, keys, kOperatorToken));
      this->daemons.back()->Start();
    }
    const auto limit = std::chrono::steady_clock::now() + 60s;
    for (const auto& daemon : this->daemons) {
      while (!IsReady(daemon->control_plane())) {
        if (std::chrono::steady_clock::now() > limit) {
          throw std::runtime_error(
              "a daemon is not ready after 60 s: configuration, group or members are missing");
        }
        std::this_thread::sleep_for(1ms);
      }
    }
  }

  /// @param view Control plane of a daemon.
  /// @returns Whether the daemon knows the service, its group and both daemons.
  static bool IsReady(ControlPlane& view) {
    const auto group = view.FindGroup("ledger");
    return view.FindSettings("ledger", "s1") && group && view.Members().size() == 2 &&
           view.OwnersOf(group->endpoints[0]).size() == 2;
  }

  void StartEndpoint(const std::string& name,
                     const std::string& failure_domain,
                     const std::string& primary_address) {
    EndpointOptions options;
    options.name = name;
    options.failure_domain = failure_domain;
    options.connect_ms = 1;
    options.statement_ms = 1;
    options.is_primary = primary_address.empty();
    options.primary_address = primary_address;
    this->endpoints.push_back(std::make_unique<EndpointServer>(options));
    this->endpoints.back()->Start("127.0.0.1:0");
  }

  std::string CallersAddress(int daemon) { return this->daemons[daemon - 1]->callers_address(); }

  static json Statement(const std::string& kind, const json& statement) {
    return {{"service", "ledger"}, {"site", "s1"},         {"rank", "urgent"},
            {"kind", kind},        {"deadline_ms", 20000}, {"statement", statement}};
  }

  Answer Write(int daemon, const std::string& key, int value, const std::string& session = "") {
    json body = Statement("write", {{"op", "put"}, {"key", key}, {"value", value}});
    body["session"] = session;
    return Post(this->CallersAddress(daemon), "/v1/statements", body);
  }

  Answer Read(int daemon, const std::string& key, const std::string& session = "") {
    json body = Statement("read", {{"op", "get"}, {"key", key}});
    body["session"] = session;
    return Post(this->CallersAddress(daemon), "/v1/statements", body);
  }

  std::vector<std::unique_ptr<EndpointServer>> endpoints;
  PlatformServer platform;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

TEST_CASE_METHOD(TwoDaemonFixture,
                 "writes and reads succeed whether or not the receiving daemon owns the primary") {
  for (int daemon : {1, 2}) {
    const Answer written = this->Write(daemon, "a", daemon);
    INFO(written.body);
    REQUIRE(written.status == 200);
    CHECK(written.body["verdict"] == "ran");
    CHECK(written.body["endpoint"] == "e1");
    const Answer read = this->Read(daemon, "a", written.body["session"]);
    INFO(read.body);
    CHECK(read.status == 200);
    CHECK(read.body["result"] == daemon);
  }
}

// Guarantee P1, a session reads its own writes: the session token, not the daemon, must carry the
// positions of the session's writes.
TEST_CASE_METHOD(TwoDaemonFixture,
                 "a session reads through one daemon what it has just written through the other") {
  for (auto& endpoint : {this->endpoints[1].get(), this->endpoints[2].get()}) {
    endpoint->Call("PUT", "/control/faults", R"({"replay_lag_ms":100})");
  }
  std::string session;
  for (int i = 1; i <= 10; ++i) {
    const Answer written = this->Write(1 + i % 2, "own", i, session);
    REQUIRE(written.status == 200);
    session = written.body["session"];
    const Answer read = this->Read(2 - i % 2, "own", session);
    INFO(read.body);
    CHECK(read.body["result"] == i);
  }
}

TEST_CASE_METHOD(
    TwoDaemonFixture,
    "a transaction whose statements arrive at different daemons commits exactly once") {
  const Answer begun =
      Post(this->CallersAddress(2), "/v1/transactions", {{"service", "ledger"}, {"site", "s1"}});
  REQUIRE(begun.status == 200);
  const std::string transaction = begun.body["transaction"];
  const auto add = [&](int daemon, int sequence) {
    return Post(this->CallersAddress(daemon), "/v1/transactions/statements",
                {{"transaction", transaction},
                 {"sequence", sequence},
                 {"kind", "write"},
                 {"statement", {{"op", "add"}, {"key", "sum"}, {"delta", 2}}}});
  };
  CHECK(add(1, 1).status == 200);
  CHECK(add(2, 2).body["result"] == 4);
  const Answer repeated = add(2, 2);
  CHECK(repeated.status == 409);
  CHECK(repeated.body["reason"] == "out_of_sequence");
  const json commit{{"transaction", transaction}, {"request_id", "commit-1"}};
  const Answer committed = Post(this->CallersAddress(1), "/v1/transactions/commit", commit);
  INFO(committed.body);
  REQUIRE(committed.status == 200);
  CHECK(this->Read(2, "sum", committed.body["session"]).body["result"] == 4);
  CHECK(add(1, 3).body["reason"] == "transaction_gone");
  // Guarantee P5, a request reported as not run has not run: the commit ran, so its repetition must
  // not be answered with "not_run".
  CHECK(Post(this->CallersAddress(2), "/v1/transactions/commit", commit).body["verdict"] == "ran");
  const json other{{"transaction", transaction}, {"request_id", "commit-2"}};
  CHECK(Post(this->CallersAddress(2), "/v1/transactions/commit", other).body["reason"] ==
        "transaction_gone");
  CHECK(Get(this->CallersAddress(2), "/v1/requests/ledger/commit-1").body["outcome"] == "ran");
  CHECK(Get(this->CallersAddress(2), "/v1/requests/ledger/commit-2").body["outcome"] ==
        "not_found");
}

TEST_CASE_METHOD(
    TwoDaemonFixture,
    "an invalid request gets a 4xx status and an error that names the reason or the faulty field") {
  const auto error_of = [](const Answer& answer) { return answer.body["error"]; };
  Answer answer = this->Read(1, "a", "forged");
  CHECK(answer.status == 400);
  CHECK(error_of(answer)["reason"] == "bad_token");
  CHECK(error_of(answer)["field"] == "session");

  json body = Statement("read", 1);
  body["service"] = "leger";
  answer = Post(this->CallersAddress(1), "/v1/statements", body);
  CHECK(answer.status == 404);
  CHECK(error_of(answer)["reason"] == "unknown_service");
  CHECK(error_of(answer)["message"].get<std::string>().find("ledger") != std::string::npos);

  // A site that is not allowed to use the service must not be reported as an unknown service.
  for (const char* site : {"elsewhere", ""}) {
    body = Statement("read", 1);
    body["site"] = site;
    answer = Post(this->CallersAddress(1), "/v1/statements", body);
    CHECK(answer.status == 400);
    CHECK(error_of(answer)["field"] == "site");
  }

  body = Statement("read", std::string(2 << 20, 'x'));
  CHECK(Post(this->CallersAddress(1), "/v1/statements", body).status == 413);

  body = Statement("read", 1);
  body["rank"] = "first";
  CHECK(error_of(Post(this->CallersAddress(1), "/v1/statements", body))["field"] == "rank");
  CHECK(Get(this->CallersAddress(1), "/v1/statements").status == 405);
  CHECK(Get(this->CallersAddress(1), "/v1/other").status == 404);
  CHECK(Post(this->CallersAddress(1), "/v1/transactions/commit", {{"transaction", "forged"}})
            .status == 400);
}

// Guarantees P5 (a request reported as not run has not run) and P6 (a write that is not safe to
// repeat runs at most once): a frozen primary does not answer, so the verdict of a write sent to it
// must be `may_have_run`.
TEST_CASE_METHOD(
    TwoDaemonFixture,
    "a write that a frozen primary does not answer in time is reported as `may_have_run`") {
  REQUIRE(this->Write(2, "a", 1).status == 200);
  this->endpoints[0]->Call("PUT", "/control/faults", R"({"frozen":true})");
  json body = Statement("write", {{"op", "put"}, {"key", "a"}, {"value", 2}});
  body["deadline_ms"] = 200;
  body["repeatable"] = false;
  const Answer answer = Post(this->CallersAddress(2), "/v1/statements", body);
  INFO(answer.body);
  CHECK(answer.status == 504);
  CHECK(answer.body["verdict"] == "may_have_run");
  this->endpoints[0]->Call("PUT", "/control/faults", R"({"frozen":false})");
}

// Guarantee P2, an acknowledged write is not lost: a write that no replica has received could be
// lost in a failover, so its verdict must not be `ran`.
TEST_CASE_METHOD(TwoDaemonFixture,
                 "a write that no replica has received does not get the verdict `ran`") {
  REQUIRE(this->Write(2, "a", 1).status == 200);
  for (int i : {1, 2}) {
    this->endpoints[i]->Call("PUT", "/control/faults", R"({"cut_replication":true})");
  }
  json body = Statement("write", {{"op", "put"}, {"key", "a"}, {"value", 2}});
  body["deadline_ms"] = 300;
  const Answer answer = Post(this->CallersAddress(2), "/v1/statements", body);
  INFO(answer.body);
  CHECK(answer.body["verdict"] != "ran");
}

TEST_CASE_METHOD(
    TwoDaemonFixture,
    "a write to a stopped endpoint is refused with `not_run`, not reported as `may_have_run`") {
  this->endpoints[0]->Stop();
  json body = Statement("write", {{"op", "put"}, {"key", "a"}, {"value", 2}});
  // The owner refuses the write 100 ms before the deadline, so that the refusal arrives in time.
  // The deadline is longer than the scheduling pauses of a busy machine.
  body["deadline_ms"] = 2000;
  const Answer answer = Post(this->CallersAddress(2), "/v1/statements", body);
  INFO(answer.body);
  CHECK(answer.status == 503);
  CHECK(answer.body["verdict"] == "not_run");
}

TEST_CASE_METHOD(TwoDaemonFixture,
                 "the operators' API refuses a missing or wrong token, and shows the spans that "
                 "the owner daemon recorded for a trace") {
  const std::string operators = this->daemons[0]->operators_address();
  CHECK(Get(operators, "/v1/status").status == 401);
  CHECK(Get(operators, "/v1/status", "wrong token of this size").status == 401);
  CHECK(Get(operators, "/v1/status", kOperatorToken).body["state"] == "serving");
  CHECK(Get(operators, "/v1/members", kOperatorToken).body["members"].size() == 2);
  CHECK(Get(operators, "/v1/services", kOperatorToken).body["services"][0]["primary"] == "e1");
  CHECK(Get(operators, "/v1/traces/unknown", kOperatorToken).status == 404);
  const Answer written = this->Write(2, "a", 1);
  const std::string path = "/v1/traces/" + written.body["trace_id"].get<std::string>();
  // The owner daemon ends its two spans before it answers the entry daemon, so both are recorded
  // when the write has been answered.
  CHECK(Get(operators, path, kOperatorToken).body["spans"].size() == 2);
  CHECK(Get(operators, "/v1/endpoints", kOperatorToken).body["endpoints"][0]["endpoint"] == "e1");
}

// Guarantee P8, a graceful stop interrupts no request: a request in flight at the stopping daemon
// is still answered, and the other daemon serves new requests.
TEST_CASE_METHOD(
    TwoDaemonFixture,
    "while a daemon stops gracefully, its request in flight succeeds, and so does a new request to "
    "the other daemon") {
  REQUIRE(this->Write(2, "a", 1).status == 200);
  this->endpoints[0]->Call("PUT", "/control/faults", R"({"statement_ms":300})");
  Answer in_flight;
  std::thread caller([&] { in_flight = this->Write(1, "a", 2); });
  const std::string operators = this->daemons[0]->operators_address();
  while (Get(operators, "/v1/endpoints", kOperatorToken).body["endpoints"][0]["running"] == 0) {
    std::this_thread::sleep_for(1ms);
  }
  std::thread stopper([&] { this->daemons[0]->Stop(); });
  const Answer during = this->Write(2, "a", 3);
  caller.join();
  stopper.join();
  INFO(in_flight.body << during.body);
  CHECK(in_flight.status == 200);
  CHECK(during.status == 200);
}

}  // namespace
}  // namespace poplarmoor
