#include <catch2/catch.hpp>
#include <thread>

#include "standins/platform_server.h"
#include "tests/standins/blocking_client.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

struct PlatformFixture {
  PlatformFixture() {
    this->platform.Seed(R"({"objects":[{"kind":"group","name":"orders","value":{"term":1}}],
                            "vms":[{"name":"e1","role":"endpoint","state":"live"}]})");
    this->platform.Start("127.0.0.1:0");
  }

  HttpResponse Put(const std::string& path, const json& value, uint64_t if_version) {
    return this->platform.Call("PUT", "/v1/objects/" + path,
                               json{{"value", value}, {"if_version", if_version}}.dump());
  }

  json Get(const std::string& target) {
    return json::parse(this->platform.Call("GET", target).body);
  }

  void SetFaults(const json& faults) {
    this->platform.Call("PUT", "/control/faults", faults.dump());
  }

  PlatformServer platform;
};

TEST_CASE_METHOD(
    PlatformFixture,
    "of two conditional updates that expect the same version, only the first succeeds") {
  CHECK(this->Put("group/orders", {{"term", 2}}, 1).status == 200);
  const HttpResponse lost = this->Put("group/orders", {{"term", 3}}, 1);
  CHECK(lost.status == 409);
  CHECK(json::parse(lost.body)["value"]["term"] == 2);
  CHECK(this->Put("group/orders", {{"term", 3}}, 0).status == 409);
  CHECK(this->Get("/v1/objects/group/orders")["version"] == 2);
  CHECK(this->platform.Call("GET", "/v1/objects/group/none").status == 404);
}

TEST_CASE_METHOD(
    PlatformFixture,
    "a watch since a given revision returns only objects that changed after that revision") {
  const uint64_t revision = this->Get("/v1/objects/group")["revision"];
  std::thread writer([this] { this->Put("group/ledger", {{"term", 1}}, 0); });
  const json changed =
      this->Get("/v1/watch/group?since=" + std::to_string(revision) + "&timeout_ms=20000");
  writer.join();
  REQUIRE(changed["objects"].size() == 1);
  CHECK(changed["objects"][0]["name"] == "ledger");
  CHECK(changed["revision"] == revision + 1);
  const json none =
      this->Get("/v1/watch/group?since=" + std::to_string(changed["revision"].get<uint64_t>()) +
                "&timeout_ms=1");
  CHECK(none["objects"].empty());
  CHECK(this->Get("/control/stats")["watches"] == 2);
}

TEST_CASE_METHOD(PlatformFixture, "the platform stores an update even if its answer is lost") {
  this->SetFaults({{"lose_answers", 1}});
  CHECK(this->Put("config/common", {{"a", 1}}, 0).drop);
  CHECK(this->Get("/v1/objects/config/common")["version"] == 1);
  CHECK(this->Put("config/common", {{"a", 2}}, 1).status == 200);
}

TEST_CASE_METHOD(PlatformFixture, "a platform that is down closes connections without an answer") {
  this->SetFaults({{"down", true}});
  {
    BlockingClient client(this->platform.address());
    CHECK_THROWS_AS(client.Send("GET", "/v1/objects/group", ""), HttpError);
  }
  this->SetFaults({{"down", false}});
  CHECK(this->Get("/v1/objects/group")["objects"].size() == 1);
}

TEST_CASE("a platform call above the rate limit gets status 429 and has no effect") {
  PlatformOptions options;
  options.writes_per_s = 0;
  PlatformServer platform(options);
  platform.Start("127.0.0.1:0");
  CHECK(platform.Call("PUT", "/v1/objects/config/common", R"({"value":1,"if_version":0})").status ==
        429);
  CHECK(platform.Call("GET", "/v1/objects/config/common").status == 404);
}

TEST_CASE_METHOD(PlatformFixture, "the platform refuses a value above 1 MiB and malformed JSON") {
  CHECK(this->Put("config/common", std::string(1 << 20, 'x'), 0).status == 413);
  CHECK(this->platform.Call("PUT", "/v1/objects/config/common", "{").status == 400);
}

TEST_CASE_METHOD(PlatformFixture, "the VM list shows a change only after the configured lag") {
  this->SetFaults({{"vm_list_lag_ms", 3600000}});
  this->platform.Call("PUT", "/control/vms/e1", R"({"state":"leaving"})");
  CHECK(this->Get("/v1/vms")["vms"][0]["state"] == "live");
  this->SetFaults({{"vm_list_lag_ms", 0}});
  CHECK(this->Get("/v1/vms")["vms"][0]["state"] == "leaving");
}

}  // namespace
}  // namespace poplarmoor
