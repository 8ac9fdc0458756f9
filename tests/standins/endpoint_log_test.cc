#include "standins/endpoint_log.h"

#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

using nlohmann::json;

json MakePut(const std::string& key, const json& value) {
  return json::array({{{"op", "put"}, {"key", key}, {"value", value}}});
}

EndpointLog MakeLog(const std::vector<uint64_t>& terms) {
  EndpointLog log;
  for (const uint64_t term : terms) {
    const std::string number = std::to_string(log.received() + 1);
    log.Execute(term, "r" + number, MakePut("k", number), false);
  }
  return log;
}

TEST_CASE("truncating a log entry also removes its effect on the state and its request id") {
  // Otherwise reads and repeated requests would still find a write that was removed from the log
  // because a new primary never received it.
  EndpointLog log = MakeLog({1, 1, 1});
  log.TruncateTo(1);
  CHECK(log.snapshot()->at("k") == "1");
  CHECK(log.FindRequest("r2") == nullptr);
  CHECK(log.FindRequest("r1") != nullptr);
  CHECK(log.last() == LogPosition{1, 1});
}

TEST_CASE(
    "the common prefix of two logs excludes entries with the same index but different terms") {
  const EndpointLog primary = MakeLog({1, 1, 3, 3});
  CHECK(primary.FindCommonPrefix({0, 0}) == 0);
  CHECK(primary.FindCommonPrefix({1, 2}) == 2);
  CHECK(primary.FindCommonPrefix({3, 4}) == 4);
  CHECK(primary.FindCommonPrefix({2, 4}) == 2);  // The primary has no entry of term 2.
  CHECK(primary.FindCommonPrefix({1, 7}) == 2);
}

TEST_CASE("a transaction with an invalid statement appends no log entry and changes no state") {
  EndpointLog log = MakeLog({1});
  json statements = MakePut("k", "new");
  statements.push_back({{"op", "drop"}, {"key", "k"}});
  CHECK_THROWS_AS(log.Execute(1, "bad", statements, true), std::invalid_argument);
  CHECK(log.received() == 1);
  CHECK(log.snapshot()->at("k") == "1");
}

TEST_CASE("later writes do not change a snapshot, so a transaction reads one consistent state") {
  EndpointLog log = MakeLog({1});
  const auto snapshot = log.snapshot();
  log.Execute(1, "later", MakePut("k", "later"), false);
  CHECK(snapshot->at("k") == "1");
  CHECK(log.snapshot()->at("k") == "later");
}

TEST_CASE("an add or append statement builds on earlier writes of the same transaction") {
  EndpointState base{{"n", 5}};
  EndpointState writes;
  CHECK(RunStatement({{"op", "add"}, {"key", "n"}, {"delta", 2}}, base, writes) == 7);
  CHECK(RunStatement({{"op", "add"}, {"key", "n"}, {"delta", 2}}, base, writes) == 9);
  CHECK(RunStatement({{"op", "append"}, {"key", "l"}, {"value", "x"}}, base, writes) == 1);
  CHECK(RunStatement({{"op", "get"}, {"key", "l"}}, base, writes) == json::array({"x"}));
  CHECK(base.size() == 1);
}

}  // namespace
}  // namespace poplarmoor
