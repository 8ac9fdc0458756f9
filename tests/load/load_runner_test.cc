#include "load/load_runner.h"

#include <catch2/catch.hpp>
#include <future>
#include <nlohmann/json.hpp>

#include "standins/endpoint_server.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

/// Three endpoints of one service and options for the load tool in direct mode.
struct DirectFixture {
  DirectFixture() {
    for (int i = 0; i < 3; ++i) {
      EndpointOptions endpoint;
      endpoint.name = "e" + std::to_string(i + 1);
      endpoint.connect_ms = 0;
      endpoint.statement_ms = 0;
      endpoint.is_primary = i == 0;
      endpoint.primary_address = i == 0 ? "" : this->servers[0]->address();
      this->servers.push_back(std::make_unique<EndpointServer>(endpoint));
      this->servers.back()->Start("127.0.0.1:0");
      this->options.endpoints["orders"].push_back(this->servers.back()->address());
    }
    this->options.direct = true;
    this->options.services = {"orders"};
    this->options.sites = {"biella"};
    this->options.duration_s = 2;
    this->options.settle_ms = 0;
    this->options.transactions = 0.3;
    this->options.nonrepeatable = 0.3;
    for (RankLoad& rank : this->options.ranks) {
      rank.rate = 60;
    }
  }

  json Call(size_t server, const std::string& target, const json& body) {
    const std::string method = target.starts_with("/control/") ? "PUT" : "POST";
    return json::parse(this->servers[server]->Call(method, target, body.dump()).body);
  }

  std::vector<std::unique_ptr<EndpointServer>> servers;
  LoadOptions options;
};

TEST_CASE_METHOD(DirectFixture, "the load tool reports no violation in a run without faults") {
  const LoadReport report = LoadRunner(this->options).Run();
  INFO(report.ToJson().dump(2));
  CHECK(report.checks.violations() == 0);
  CHECK(report.checks.acked_writes > 0);
  CHECK(report.checks.reads_total > 0);
  CHECK(report.unchecked_services.empty());
  CHECK(report.log_primaries.at("orders") == "e1");
}

TEST_CASE_METHOD(
    DirectFixture,
    "the load tool counts an acknowledged write as lost if the promoted replica lacks it") {
  // In direct mode, a write counts as acknowledged when the primary alone has run it. The test
  // promotes a replica without first sending `fence` requests to a majority of the endpoints.
  // Writes that only the old primary has are therefore lost.
  this->Call(0, "/control/faults", {{"cut_replication", true}});
  auto run = std::async(std::launch::async, [this] { return LoadRunner(this->options).Run(); });
  uint64_t received = 0;
  while (received < 20 && run.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready) {
    received = this->Call(0, "/v1/status", json::object())["received"];
  }
  this->servers[0]->Stop();
  const json last = this->Call(1, "/v1/status", json::object())["last"];
  const json promoted = this->Call(
      1, "/v1/promote", {{"term", 2}, {"proposer", "test"}, {"start_index", last["index"]}});
  CHECK(promoted["role"] == "primary");
  const LoadReport report = run.get();
  CHECK(report.checks.lost_acked_writes > 0);
  CHECK(report.log_primaries.at("orders") == "e2");
}

TEST_CASE_METHOD(DirectFixture,
                 "the load tool reports a service as unchecked if no endpoint answers") {
  this->options.endpoints["ledger"] = {"127.0.0.1:1"};
  this->options.services = {"ledger"};
  this->options.duration_s = 1;
  this->options.deadline_ms = 50;
  this->options.log_attempts = 1;
  const LoadReport report = LoadRunner(this->options).Run();
  CHECK(report.unchecked_services == std::vector<std::string>{"ledger"});
  CHECK(report.checks.acked_writes == 0);
}

}  // namespace
}  // namespace poplarmoor
