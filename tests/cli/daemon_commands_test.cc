#include <catch2/catch.hpp>

#include "cli_fixture.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

constexpr const char* kTraceId = "0af7651916cd43dd8448eb211c80319c";
constexpr const char* kUnusedAddress = "127.0.0.1:1";

TEST_CASE_METHOD(CliFixture,
                 "apply --wait succeeds only if every daemon reports the new revision in time") {
  FakeDaemon current;
  FakeDaemon late;
  current.answers["/v1/status"] = R"({"config_revision": 1000000})";
  late.answers["/v1/status"] = R"({"config_revision": 1})";
  this->daemons = {current.address()};
  const CliResult all = this->Apply(ExampleBase(), {"--wait", "5"});
  CHECK(all.code == ExitCode::kOk);
  CHECK(all.err == "in force on 1 of 1\n");
  this->daemons = {current.address(), late.address()};
  const CliResult some = this->Apply(ExampleBase(), {"--wait", "1"});
  CHECK(some.code == ExitCode::kFailed);
  CHECK(some.err.find("in force on 1 of 2") != std::string::npos);
  CHECK(some.err.find(late.address()) != std::string::npos);
}

TEST_CASE_METHOD(CliFixture, "status lists a daemon that is unreachable instead of omitting it") {
  FakeDaemon daemon;
  daemon.answers["/v1/status"] = R"({"daemon": "entry-1", "state": "serving"})";
  this->daemons = {daemon.address(), kUnusedAddress};
  const CliResult run = this->Run({"status"});
  CHECK(run.code == ExitCode::kFailed);
  CHECK(run.out.find("entry-1") != std::string::npos);
  CHECK(run.out.find("unreachable") != std::string::npos);
  this->daemons = {kUnusedAddress};
  CHECK(this->Run({"status"}).code == ExitCode::kUnreachable);
}

TEST_CASE_METHOD(CliFixture,
                 "drain sends its request to the next daemon if the first one is unreachable") {
  FakeDaemon daemon;
  daemon.answers["/v1/drain"] = "{}";
  this->daemons = {kUnusedAddress, daemon.address()};
  CHECK(this->Run({"drain", "orders-1"}).code == ExitCode::kOk);
  REQUIRE(daemon.requests.size() == 1);
  CHECK(daemon.requests[0].body == R"({"endpoint":"orders-1"})");
}

TEST_CASE_METHOD(CliFixture,
                 "if a daemon refuses a promote command, the daemon's reason is printed") {
  FakeDaemon daemon;
  this->daemons = {daemon.address()};
  const CliResult run = this->Run({"promote", "none"});
  CHECK(run.code == ExitCode::kFailed);
  CHECK(run.err.find("no such thing") != std::string::npos);
}

TEST_CASE_METHOD(
    CliFixture,
    "a refused operator token is reported, but the output does not contain the token") {
  FakeDaemon daemon;
  this->daemons = {daemon.address()};
  this->token_file = this->Write("other-token", "another-secret-token");
  for (const char* command : {"services", "status", "metrics"}) {
    const CliResult run = this->Run({command});
    CHECK(run.code == ExitCode::kFailed);
    CHECK((run.out + run.err).find("another-secret") == std::string::npos);
  }
  CHECK(this->Run({"services"}).err.find("check the token file") != std::string::npos);
}

TEST_CASE_METHOD(CliFixture,
                 "trace prints the spans of all daemons in the order of their start times") {
  FakeDaemon entry;
  FakeDaemon owner;
  const std::string path = std::string("/v1/traces/") + kTraceId;
  entry.answers[path] = R"({"spans": [{"name": "entry", "startTimeUnixNano": "1000",
                            "endTimeUnixNano": "9000"}]})";
  owner.answers[path] = R"({"spans": [{"name": "owner", "startTimeUnixNano": "3000",
                            "endTimeUnixNano": "5000"}]})";
  this->daemons = {owner.address(), entry.address()};
  const json spans = json::parse(this->Run({"trace", kTraceId, "--output", "json"}).out);
  REQUIRE(spans.size() == 2);
  CHECK(spans[0]["name"] == "entry");
  CHECK(this->Run({"trace", kTraceId}).out.find("owner") != std::string::npos);
  CHECK(this->Run({"trace", "../status"}).code == ExitCode::kInvalid);
  CHECK(this->Run({"trace", std::string(32, 'a')}).code == ExitCode::kFailed);
}

TEST_CASE_METHOD(
    CliFixture,
    "the `endpoints` command merges the lists of all daemons, and the `metrics` command "
    "prints a daemon's text unchanged") {
  FakeDaemon daemon;
  daemon.answers["/v1/endpoints"] = R"({"endpoints": [{"endpoint": "orders-1", "running": 2}]})";
  daemon.answers["/metrics"] = "poplarmoor_members 8\n";
  this->daemons = {daemon.address()};
  FakeDaemon other;
  other.answers["/v1/endpoints"] = R"({"endpoints": [{"endpoint": "orders-2", "running": 0}]})";
  this->daemons = {daemon.address(), other.address()};
  const json rows = json::parse(this->Run({"endpoints", "--output", "json"}).out);
  REQUIRE(rows.size() == 2);
  CHECK(rows[1]["owner"] == other.address());
  this->daemons = {daemon.address()};
  const CliResult metrics = this->Run({"metrics"});
  CHECK(metrics.code == ExitCode::kOk);
  CHECK(metrics.out.find("poplarmoor_members 8\n") != std::string::npos);
}

TEST_CASE_METHOD(CliFixture,
                 "every command prints help for --help, and wrong usage ends with the exit code "
                 "for invalid input") {
  for (const char* command : {"validate", "diff", "apply", "get", "status", "services", "endpoints",
                              "drain", "promote", "trace", "metrics", "version"}) {
    INFO(command);
    const CliResult run = this->Run({command, "--help"});
    CHECK(run.code == ExitCode::kOk);
    CHECK(run.out.find("Exit codes") != std::string::npos);
  }
  CHECK(this->Run({"drain"}).code == ExitCode::kInvalid);
  CHECK(this->Run({"status", "--outptu", "json"}).code == ExitCode::kInvalid);
  CHECK(this->Run({"status", "--output", "xml"}).code == ExitCode::kInvalid);
  const CliResult unknown = this->Run({"aply"});
  CHECK(unknown.code == ExitCode::kInvalid);
  CHECK(unknown.err.find("'apply'") != std::string::npos);
}

TEST_CASE_METHOD(
    CliFixture,
    "a profile sets the platform's address, the daemons' addresses and the token file's path") {
  FakeDaemon daemon;
  daemon.answers["/v1/services"] = R"({"services": [{"service": "orders"}]})";
  const std::string profile =
      this->Write("profile.json", json{{"platform", this->platform->address()},
                                       {"daemons", {daemon.address()}},
                                       {"operator_token_file", "token"}}
                                      .dump());
  std::ostringstream out;
  std::ostringstream err;
  CHECK(Cli(out, err).Run({"services", "--profile", profile}) == ExitCode::kOk);
  CHECK(out.str().find("orders") != std::string::npos);
}

}  // namespace
}  // namespace poplarmoor
