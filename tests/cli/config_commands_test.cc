#include "cli_fixture.h"

#include <catch2/catch.hpp>

#include "cli/command_error.h"
#include "cli/config_plan.h"
#include "cli/config_writer.h"
#include "cli/platform_session.h"
#include "config/deployment.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

ConfigPlan PlanFor(const json& base, PlatformSession* platform) {
  const Deployment deployment = ParseDeployment({"base.json", base.dump()}, {});
  return MakePlan(deployment, platform->List("config"), platform->List("group"));
}

TEST_CASE_METHOD(CliFixture,
                 "apply writes only the units that changed and prints their new versions") {
  const CliResult first = this->Apply(ExampleBase());
  CHECK(first.code == ExitCode::kOk);
  CHECK(first.out.find("config/service.orders") != std::string::npos);
  CHECK(this->ReadStored("group/orders")["value"]["primary"] == "orders-1");

  CHECK(this->Apply(ExampleBase()).out == "nothing to change\n");

  json changed = ExampleBase();
  changed["services"][0]["deadline_ms"] = 777;
  const CliResult diff = this->Run({"diff", this->Write("base.json", changed.dump())});
  CHECK(diff.out.find("add /deadline_ms 777") != std::string::npos);
  const CliResult second = this->Apply(changed, {"--output", "json"});
  const json rows = json::parse(second.out);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0]["object"] == "config/service.orders");
  CHECK(rows[0]["version"] == 2);
  CHECK(this->ReadStored("config/service.members")["version"] == 1);
}

TEST_CASE_METHOD(
    CliFixture,
    "when the platform's answer to a change is lost, apply recognises its own change and does not "
    "write it twice") {
  this->SetFaults({{"lose_answers", 3}});
  const CliResult run = this->Apply(ExampleBase());
  CHECK(run.code == ExitCode::kOk);
  CHECK(run.err.find("read back") != std::string::npos);
  CHECK(this->ReadStored("config/common")["version"] == 1);
  CHECK(this->ReadStored("group/orders")["version"] == 1);
}

TEST_CASE_METHOD(CliFixture,
                 "a change based on an outdated version does not overwrite the newer version") {
  REQUIRE(this->Apply(ExampleBase()).code == ExitCode::kOk);
  PlatformSession platform(this->platform->address(), std::chrono::milliseconds(5000));
  json first = ExampleBase();
  first["services"][0]["deadline_ms"] = 111;
  json second = ExampleBase();
  second["services"][0]["deadline_ms"] = 222;
  const ConfigPlan first_plan = PlanFor(first, &platform);
  const ConfigPlan second_plan = PlanFor(second, &platform);
  const auto sleep = [](std::chrono::milliseconds) {};
  ConfigWriter(&platform, "first", sleep).Write(first_plan.changes.at(0));
  try {
    ConfigWriter(&platform, "second", sleep).Write(second_plan.changes.at(0));
    FAIL("the second change overwrote the first");
  } catch (const CommandError& error) {
    CHECK(error.code == ExitCode::kConflict);
    CHECK_THAT(error.what(), Catch::Contains("version 2 instead of 1"));
  }
  CHECK(this->ReadStored("config/service.orders")["value"]["deadline_ms"] == 111);
}

TEST_CASE_METHOD(
    CliFixture,
    "a conflict between two operators is reported even if the platform's answers are lost") {
  REQUIRE(this->Apply(ExampleBase()).code == ExitCode::kOk);
  PlatformSession platform(this->platform->address(), std::chrono::milliseconds(5000));
  json bases[2]{ExampleBase(), ExampleBase()};
  bases[0]["services"][0]["deadline_ms"] = 111;
  bases[1]["services"][0]["deadline_ms"] = 222;
  const ConfigPlan plans[2]{PlanFor(bases[0], &platform), PlanFor(bases[1], &platform)};
  this->SetFaults({{"lose_answers", true}});
  const auto sleep = [](std::chrono::milliseconds) {};
  CHECK(ConfigWriter(&platform, "first", sleep).Write(plans[0].changes.at(0)).version == 2);
  CHECK_THROWS_WITH(ConfigWriter(&platform, "second", sleep).Write(plans[1].changes.at(0)),
                    Catch::Contains("another operator"));
  CHECK(this->ReadStored("config/service.orders")["value"]["deadline_ms"] == 111);
}

TEST_CASE_METHOD(CliFixture, "apply --if-revision with an outdated revision changes nothing") {
  REQUIRE(this->Apply(ExampleBase()).code == ExitCode::kOk);
  json changed = ExampleBase();
  changed["services"][0]["deadline_ms"] = 777;
  const CliResult run = this->Apply(changed, {"--if-revision", "1"});
  CHECK(run.code == ExitCode::kConflict);
  CHECK(this->ReadStored("config/service.orders")["version"] == 1);
}

TEST_CASE_METHOD(CliFixture, "apply and diff report a platform that is down as unreachable") {
  this->SetFaults({{"down", true}});
  const CliResult run = this->Apply(ExampleBase());
  CHECK(run.code == ExitCode::kUnreachable);
  CHECK(run.err.find("unreachable") != std::string::npos);
  CHECK(this->Run({"diff", this->Write("base.json", ExampleBase().dump())}).code ==
        ExitCode::kUnreachable);
}

TEST_CASE_METHOD(
    CliFixture,
    "when the platform's answer to a configuration write is lost and the platform goes down before "
    "the retry, the writer reports that the change may have been stored") {
  PlatformSession platform(this->platform->address(), std::chrono::milliseconds(5000));
  const ConfigPlan plan = PlanFor(ExampleBase(), &platform);
  this->SetFaults({{"lose_answers", 1}});
  ConfigWriter writer(&platform, "id", [this](std::chrono::milliseconds) {
    this->SetFaults({{"down", true}});
  });
  try {
    writer.Write(plan.changes.at(0));
    FAIL("the change was reported as stored");
  } catch (const CommandError& error) {
    CHECK(error.code == ExitCode::kUnreachable);
    CHECK_THAT(error.what(), Catch::Contains("may or may not have been stored"));
  }
}

TEST_CASE_METHOD(CliFixture,
                 "when the platform refuses a write because of its rate limit, apply repeats the "
                 "write until it succeeds") {
  PlatformOptions options;
  options.writes_per_s = 4;
  this->StartPlatform(options);
  CHECK(this->Apply(ExampleBase()).code == ExitCode::kOk);
  CHECK(this->ReadStored("config/service.orders")["version"] == 1);
}

TEST_CASE_METHOD(CliFixture,
                 "apply removes a service that the files lack only if --allow-removal is given") {
  REQUIRE(this->Apply(ExampleBase()).code == ExitCode::kOk);
  json smaller = ExampleBase();
  smaller["services"].erase(1);
  const CliResult refused = this->Apply(smaller);
  CHECK(refused.code == ExitCode::kInvalid);
  CHECK(refused.err.find("service.members") != std::string::npos);
  CHECK(this->Apply(smaller, {"--allow-removal"}).code == ExitCode::kOk);
  CHECK(this->ReadStored("config/service.members")["value"]["removed"] == true);
  CHECK(this->Apply(smaller).out == "nothing to change\n");
  CHECK(this->Apply(ExampleBase()).code == ExitCode::kOk);
  CHECK(this->ReadStored("config/service.members")["value"]["pool"] == "ledger");
}

TEST_CASE_METHOD(CliFixture, "apply refuses to change the endpoints of an existing group") {
  REQUIRE(this->Apply(ExampleBase()).code == ExitCode::kOk);
  json moved = ExampleBase();
  moved["services"][0]["endpoints"][0]["address"] = "127.0.0.9:9";
  moved["services"][0]["deadline_ms"] = 5000;
  const CliResult run = this->Apply(moved);
  CHECK(run.code == ExitCode::kInvalid);
  CHECK(run.err.find("service orders") != std::string::npos);
  CHECK(this->ReadStored("config/service.orders")["version"] == 1);
}

TEST_CASE_METHOD(
    CliFixture,
    "apply adds a pool before the services use it and removes it after they stop using it") {
  REQUIRE(this->Apply(ExampleBase()).code == ExitCode::kOk);
  json base = ExampleBase();
  base["pools"].push_back(base["pools"][0]);
  base["pools"][1]["name"] = "archive";
  base["services"][0]["pool"] = "archive";
  const json added = json::parse(this->Apply(base, {"--output", "json"}).out);
  REQUIRE(added.size() == 2);
  CHECK(added[0]["object"] == "config/common");
  const json removed = json::parse(this->Apply(ExampleBase(), {"--output", "json"}).out);
  REQUIRE(removed.size() == 2);
  CHECK(removed[1]["object"] == "config/common");
}

TEST_CASE_METHOD(CliFixture,
                 "validate names every problem in the files and works without a platform") {
  json base = ExampleBase();
  base["services"][0]["pool"] = "x";
  base["services"][1]["routing"] = "y";
  const std::string path = this->Write("bad.json", base.dump());
  const CliResult run = this->Run({"validate", path});
  CHECK(run.code == ExitCode::kInvalid);
  CHECK(run.err.find(path + ": /services/0/pool") != std::string::npos);
  CHECK(run.err.find(path + ": /services/1/routing") != std::string::npos);
  CHECK(json::parse(this->Run({"validate", path, "--output", "json"}).out).size() == 2);
  CHECK(this->Run({"validate", this->Write("good.json", ExampleBase().dump())}).out == "valid\n");
  const CliResult missing = this->Run({"validate", "/nonexistent.json"});
  CHECK(missing.code == ExitCode::kInvalid);
  CHECK(missing.err.find("/nonexistent.json") != std::string::npos);
}

TEST_CASE_METHOD(CliFixture,
                 "get prints stored objects and fails for an object that does not exist") {
  REQUIRE(this->Apply(ExampleBase()).code == ExitCode::kOk);
  CHECK(json::parse(this->Run({"get", "--output", "json"}).out).size() == 3);
  CHECK(json::parse(this->Run({"get", "orders", "--kind", "group"}).out)["value"]["term"] == 1);
  CHECK(this->Run({"get", "service.none"}).code == ExitCode::kFailed);
}

}  // namespace
}  // namespace poplarmoor
