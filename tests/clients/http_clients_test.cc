#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "net/http_connection.h"
#include "net/http_message.h"
#include "standins/endpoint_server.h"
#include "standins/platform_server.h"
#include "tests/clients/client_crowd.h"
#include "tests/clients/daemon_process.h"
#include "tests/standins/blocking_client.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

constexpr size_t kMessageLimit = 1 << 20;  // Largest body, in bytes.
// Largest growth of the resident memory over that of the idle daemon, in bytes. The rest of the
// 160 MB of the smallest VM is for the idle daemon and the kernel. The bound holds with the address
// sanitizer.
constexpr size_t kMaxGrowth = 120 << 20;
constexpr size_t kManyDescriptors = 4300;
constexpr size_t kFewDescriptors = 256;
// Descriptors that the daemon needs for endpoints, the platform and its files.
constexpr size_t kOwnDescriptors = 64;

// One daemon with a platform and a group of three endpoints.
struct HttpFixture {
  explicit HttpFixture(size_t max_descriptors = kManyDescriptors) {
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
    for (size_t i = 0; i < 3; ++i) {
      group["endpoints"].push_back({{"name", "e" + std::to_string(i + 1)},
                                    {"address", this->endpoints[i]->address()},
                                    {"failure_domain", i == 0 ? "a" : "b"}});
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
    const json settings{
        {"daemon", "d1"},
        {"failure_domain", "a"},
        {"listen",
         {{"callers", this->callers}, {"operators", this->operators}, {"peers", this->peers}}},
        {"platform", this->platform.address()},
        {"seed_peers", json::array()},
        {"keys_file", "keys.json"},
        {"operator_token_file", "operator.token"},
        {"threads", 2}};
    const json keys{{"current", "k1"}, {"keys", {{"k1", std::string(64, 'a')}}}};
    this->process = std::make_unique<DaemonProcess>(
        "poplarmoord",
        std::map<std::string, std::string>{{"settings", settings.dump()},
                                           {"keys.json", keys.dump()},
                                           {"operator.token", std::string(48, 'b') + "\n"}},
        max_descriptors);
    this->process->AwaitReady(this->callers, "/healthz");
    REQUIRE(this->ServesOrdinaryCaller());
    this->idle = this->process->PeakResident();
  }

  void StartEndpoint(const std::string& name,
                     const std::string& failure_domain,
                     const std::string& primary_address) {
    EndpointOptions options;
    options.name = name;
    options.failure_domain = failure_domain;
    options.connect_ms = 1;
    options.statement_ms = 5;
    options.is_primary = primary_address.empty();
    options.primary_address = primary_address;
    this->endpoints.push_back(std::make_unique<EndpointServer>(options));
    this->endpoints.back()->Start("127.0.0.1:0");
  }

  // Returns the body of a read that has this size in bytes.
  static std::string MakeBody(size_t size) {
    json body{{"service", "ledger"},
              {"site", "s1"},
              {"rank", "standard"},
              {"kind", "read"},
              {"statement", {{"op", "get"}, {"key", "k"}, {"note", ""}}},
              {"freshness", {{"own_writes", false}, {"max_staleness_ms", 60000}}},
              {"deadline_ms", 20000}};
    body["statement"]["note"] = std::string(size - body.dump().size(), 'x');
    return body.dump();
  }

  bool Ask(size_t size) const {
    try {
      BlockingClient client(this->callers);
      return client.Send("POST", "/v1/statements", MakeBody(size), std::chrono::seconds(30))
                 .status == 200;
    } catch (const HttpError&) {
      return false;
    }
  }

  // Returns whether an ordinary caller is served. It repeats a refused request, as callers do.
  bool ServesOrdinaryCaller() const {
    for (int attempt = 0; attempt < 200; ++attempt) {
      if (this->Ask(500)) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  }

  void CheckBounds() const {
    REQUIRE(this->process->IsAlive());
    const size_t growth = this->process->PeakResident() - this->idle;
    INFO("growth in MB: " << (growth >> 20) << ", idle: " << (this->idle >> 20));
    CHECK(growth <= kMaxGrowth);
    CHECK(this->ServesOrdinaryCaller());
  }

  PlatformServer platform;
  std::vector<std::unique_ptr<EndpointServer>> endpoints;
  std::string callers = FindFreeAddress();
  std::string operators = FindFreeAddress();
  std::string peers = FindFreeAddress();
  std::unique_ptr<DaemonProcess> process;
  size_t idle = 0;  // Resident memory of the idle daemon, in bytes.
};

std::string MakeRequest(const std::string& body) {
  return "POST /v1/statements HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against a limit that refuses callers within the documented limits.
TEST_CASE("proxy daemon: a request of the largest legal size is served") {
  HttpFixture fixture;
  CHECK(fixture.Ask(kMessageLimit));
}

// Guards against request bodies whose sum only the number of connections limits.
TEST_CASE("proxy daemon: large requests stay within the memory of the VM") {
  const bool whole = GENERATE(false, true);
  const size_t piece = GENERATE(size_t{4000}, 4 * kMessageLimit);
  HttpFixture fixture;
  ClientCrowd crowd(fixture.callers, 300);
  const std::string request = MakeRequest(HttpFixture::MakeBody(kMessageLimit));
  crowd.Send(request.substr(0, request.size() - (whole ? 0 : 1)), piece);
  fixture.process->AwaitReceived(PortOf(fixture.callers));
  fixture.CheckBounds();
}

// Guards against a listener whose connections take the descriptors that the others need.
TEST_CASE("proxy daemon: idle connections to one listener leave descriptors for the others") {
  const auto listener =
      GENERATE(&HttpFixture::callers, &HttpFixture::operators, &HttpFixture::peers);
  HttpFixture fixture(kFewDescriptors);
  ClientCrowd crowd(fixture.*listener, 300);
  crowd.Send("P", 1);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(fixture.process->Descriptors() <= kFewDescriptors - kOwnDescriptors);
  if (listener == &HttpFixture::callers) {
    crowd.Close();  // All connections of callers are taken while these are open.
  }
  fixture.CheckBounds();
}

}  // namespace
}  // namespace poplarmoor
