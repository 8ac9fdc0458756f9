#include "config/deployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "config/daemon_settings.h"
#include "config/effective_settings.h"
#include "config/units.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

const std::string kConfigDirectory = std::string(SOURCE_DIR) + "/configs/";

Deployment ReadExample(const std::string& name, const std::vector<std::string>& sites) {
  std::vector<std::string> overlays;
  for (const std::string& site : sites) {
    overlays.push_back(kConfigDirectory + name + "/site-" + site + ".json");
  }
  return ReadDeployment(kConfigDirectory + name + "/base.json", overlays);
}

Deployment ReadBlueMahoe() {
  return ReadExample("blue-mahoe", {"spanish-town", "portmore", "old-harbour"});
}

Deployment ReadConsorzio() {
  return ReadExample("consorzio", {"biella", "treviso", "bergamo"});
}

EffectiveSettings LoadSettings(const Deployment& deployment) {
  EffectiveSettings settings;
  for (const auto& [name, content] : deployment.units) {
    settings.Update(name, content);
  }
  return settings;
}

json ValidBase() {
  return json::parse(R"({
    "deployment": "d", "failure_domains": ["fd-a", "fd-b"],
    "sites": [{"name": "portmore", "failure_domain": "fd-a"}],
    "ranks": {"urgent": {"floor_share": 0.5}, "standard": {"floor_share": 0.5}},
    "overridable": ["ranks", "deadline_ms"],
    "pools": [{"name": "ledger", "slots": 3, "connections": 25, "connect_ms": 10,
               "server_connections": 25}],
    "services": [{"name": "orders", "pool": "ledger", "sites": ["portmore"], "endpoints": [
      {"name": "o-1", "address": "127.0.0.1:1", "failure_domain": "fd-a"},
      {"name": "o-2", "address": "127.0.0.2:1", "failure_domain": "fd-a"},
      {"name": "o-3", "address": "127.0.0.3:1", "failure_domain": "fd-b"}]}]})");
}

std::vector<ConfigProblem> ProblemsOf(const json& base, const std::vector<json>& overlays = {}) {
  std::vector<ConfigFile> files;
  for (const json& overlay : overlays) {
    files.push_back({"site-" + std::to_string(files.size()) + ".json", overlay.dump()});
  }
  try {
    ParseDeployment({"base.json", base.dump()}, files);
  } catch (const ConfigError& error) {
    return error.problems;
  }
  return {};
}

// Changes one value of a valid base file and returns the only problem that this causes.
ConfigProblem ProblemAfter(const std::string& pointer, const json& value) {
  json base = ValidBase();
  base[json::json_pointer(pointer)] = value;
  const auto problems = ProblemsOf(base);
  INFO(pointer);
  for (const ConfigProblem& problem : problems) {
    UNSCOPED_INFO(problem.ToString());
  }
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].file == "base.json");
  CHECK_FALSE(problems[0].allowed.empty());
  return problems[0];
}

TEST_CASE("the example deployments are valid and have the capacities that the design page states") {
  const EffectiveSettings blue_mahoe = LoadSettings(ReadBlueMahoe());
  const auto orders = blue_mahoe.Find("fold-ledger-orders", "portmore");
  REQUIRE(orders);
  CHECK(orders->slots == 3);
  CHECK(orders->connections == 25);
  CHECK(orders->connect_time == Duration(10000));
  CHECK(blue_mahoe.ServiceNames().size() == 3);
  const EffectiveSettings consorzio = LoadSettings(ReadConsorzio());
  const auto lots = consorzio.Find("registro-soci-lotti", "bergamo");
  REQUIRE(lots);
  CHECK(lots->slots == 2);
  CHECK(lots->connections == 30);
  CHECK(lots->connect_time == Duration(30000));
  CHECK(lots->routing == "writer_to_primary");
}

TEST_CASE("no two listeners of daemons or endpoints in the example deployments share an address") {
  std::set<std::string> addresses;
  size_t count = 0;
  for (const std::string name : {"blue-mahoe", "consorzio"}) {
    std::map<std::string, int> domains;
    for (int i = 1; i <= 8; ++i) {
      const auto settings =
          ReadDaemonSettings(kConfigDirectory + name + "/daemon-" + std::to_string(i) + ".json");
      ++domains[settings.failure_domain];
      count += 3;
      addresses.insert(settings.listen.callers);
      addresses.insert(settings.listen.operators);
      addresses.insert(settings.listen.peers);
    }
    CHECK(domains.size() == 3);
    const Deployment deployment = name == "consorzio" ? ReadConsorzio() : ReadBlueMahoe();
    for (const auto& [service, group] : deployment.groups) {
      for (const EndpointInfo& endpoint : ParseGroup(group, 1).endpoints) {
        ++count;
        addresses.insert(endpoint.address);
      }
    }
  }
  CHECK(addresses.size() == count);
}

TEST_CASE("a site's overrides do not change the settings of other sites") {
  const EffectiveSettings settings = LoadSettings(ReadBlueMahoe());
  const auto portmore = settings.Find("fold-ledger-bundles", "portmore");
  const auto harbour = settings.Find("fold-ledger-bundles", "old-harbour");
  const auto none = settings.Find("fold-ledger-bundles", "");
  REQUIRE((portmore && harbour && none));
  CHECK(portmore->default_deadline == 1500ms);
  CHECK(harbour->default_deadline == 3000ms);
  CHECK(none->default_deadline == 2000ms);
  const auto target = [](const std::optional<ServiceSettings>& of, Rank rank) {
    return of->ranks[static_cast<size_t>(rank)].target;
  };
  CHECK(target(harbour, Rank::kBackground) == 5000ms);
  CHECK(target(portmore, Rank::kBackground) == 3000ms);
  CHECK(target(none, Rank::kStandard) == 500ms);  // The service overrides the common value.
  CHECK(none->ranks[0].floor_share == 0.5);
}

TEST_CASE(
    "no settings are found for an unknown service or for a site that the service does not list") {
  const EffectiveSettings settings = LoadSettings(ReadBlueMahoe());
  CHECK_FALSE(settings.Find("fold-ledger-orders", "biella"));
  CHECK_FALSE(settings.Find("fold-ledger", ""));
}

TEST_CASE(
    "a malformed configuration unit changes no settings, and a removed service is not found") {
  EffectiveSettings settings = LoadSettings(ReadBlueMahoe());
  CHECK_THROWS_AS(settings.Update("service.fold-ledger-orders", R"({"pool": 5})"), ConfigError);
  CHECK_THROWS_AS(settings.Update("common", "not json"), ConfigError);
  CHECK_THROWS_AS(settings.Update("weather", "{}"), ConfigError);
  CHECK(settings.Find("fold-ledger-orders", "portmore"));
  settings.Update("service.fold-ledger-orders", R"({"removed": true})");
  CHECK_FALSE(settings.Find("fold-ledger-orders", "portmore"));
}

TEST_CASE(
    "the initial group of a service has a primary, and a group that is formatted and then parsed "
    "keeps all fields") {
  const Deployment deployment = ReadBlueMahoe();
  const GroupState group = ParseGroup(deployment.groups.at("fold-ledger-orders"), 7);
  CHECK(group.term == 1);
  CHECK(group.version == 7);
  CHECK(group.primary == group.endpoints[0].name);
  CHECK(group.phase == GroupPhase::kServing);
  CHECK(group.term_starts == std::vector<TermStart>{{1, 0}});
  CHECK(ParseGroup(FormatGroup(group), 7) == group);
  CHECK_THROWS_AS(ParseGroup("{}", 1), ConfigError);
}

TEST_CASE("unknown names in a base file are refused and the nearest known name is suggested") {
  CHECK(ProblemAfter("/services/0/pool", "ledgr").message.find("'ledger'") != std::string::npos);
  CHECK(ProblemAfter("/services/0/sites/0", "portmor").pointer == "/services/0/sites/0");
  CHECK(ProblemAfter("/sites/0/failure_domain", "fd-x").allowed == "fd-a, fd-b");
  CHECK(ProblemAfter("/services/0/endpoints/2/failure_domain", "fd-c").value == "\"fd-c\"");
  const auto routing = ProblemAfter("/services/0/routing", "fresh-replicas");
  CHECK(routing.message.find("'fresh_replicas'") != std::string::npos);
  CHECK(ProblemAfter("/services/0/admission", "lifo").allowed.find("floors") != std::string::npos);
}

TEST_CASE("floor shares whose sum over all ranks is above 1 are refused") {
  CHECK(ProblemAfter("/ranks/background", {{"floor_share", 0.01}}).pointer == "/ranks");
  CHECK(ProblemAfter("/services/0/ranks", {{"urgent", {{"floor_share", 0.6}}}}).pointer ==
        "/services/0/ranks");
}

TEST_CASE(
    "a pool or service with more connections than the server allows, or with more slots than half "
    "of its connections, is refused") {
  CHECK(ProblemAfter("/pools/0/connections", 26).allowed.find("25") != std::string::npos);
  CHECK(ProblemAfter("/services/0/connections", 40).pointer == "/services/0/connections");
  CHECK(ProblemAfter("/pools/0/slots", 13).allowed.find("12") != std::string::npos);
}

// Such a group would not survive the loss of a failure domain.
TEST_CASE(
    "a group with too few endpoints, or with all endpoints in one failure domain, is refused") {
  CHECK(ProblemAfter("/services/0/endpoints/2/failure_domain", "fd-a").pointer ==
        "/services/0/endpoints");
  json base = ValidBase();
  base["services"][0]["endpoints"].erase(1);
  REQUIRE(ProblemsOf(base).size() == 1);
  CHECK(ProblemsOf(base)[0].value == "2");
}

TEST_CASE("malformed and duplicate endpoint addresses are refused") {
  CHECK(ProblemAfter("/services/0/endpoints/0/address", "localhost:1").message ==
        "malformed address");
  CHECK(ProblemAfter("/services/0/endpoints/0/address", "127.0.0.2:1").pointer ==
        "/services/0/endpoints/1/address");
}

TEST_CASE("a second service of the same name is refused and does not silently replace the first") {
  json base = ValidBase();
  json copy = base["services"][0];
  for (int i = 0; i < 3; ++i) {
    copy["endpoints"][i]["name"] = "p-" + std::to_string(i);
    copy["endpoints"][i]["address"] = "127.0.1." + std::to_string(i) + ":1";
  }
  base["services"].push_back(copy);
  const auto problems = ProblemsOf(base);
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].pointer == "/services/1/name");
  CHECK(problems[0].message == "duplicate service");
}

TEST_CASE(
    "an overlay is refused when it changes a key that the base file does not list as overridable") {
  CHECK(ProblemsOf(ValidBase(), {{{"site", "portmore"}, {"deadline_ms", 500}}}).empty());
  const auto routing =
      ProblemsOf(ValidBase(), {{{"site", "portmore"}, {"routing", "round_robin"}}});
  REQUIRE(routing.size() == 1);
  CHECK(routing[0].file == "site-0.json");
  CHECK(routing[0].pointer == "/routing");
  json base = ValidBase();
  base["services"][0]["overridable"] = {"routing"};
  const auto deadline = ProblemsOf(
      base, {{{"site", "portmore"}, {"services", {{"orders", {{"deadline_ms", 500}}}}}}});
  REQUIRE(deadline.size() == 1);
  CHECK(deadline[0].pointer == "/services/orders/deadline_ms");
}

TEST_CASE(
    "an overlay cannot change floor shares, because all sites share the queue of an endpoint") {
  const auto problems = ProblemsOf(
      ValidBase(), {{{"site", "portmore"}, {"ranks", {{"urgent", {{"floor_share", 0.9}}}}}}});
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].pointer == "/ranks/urgent/floor_share");
}

TEST_CASE(
    "an overlay of an unknown site is refused, and so is the second of two overlays of one site") {
  CHECK(ProblemsOf(ValidBase(), {{{"site", "biella"}}}).size() == 1);
  const json overlay{{"site", "portmore"}};
  const auto twice = ProblemsOf(ValidBase(), {overlay, overlay});
  REQUIRE(twice.size() == 1);
  CHECK(twice[0].file == "site-1.json");
}

TEST_CASE("the problems of the base file and of all overlays are reported together in one error") {
  json base = ValidBase();
  base["services"][0]["pool"] = "x";
  base["services"][0]["routing"] = "y";
  const auto problems = ProblemsOf(base, {{{"site", "z"}}, {{"sight", "portmore"}}});
  std::set<std::string> files;
  for (const ConfigProblem& problem : problems) {
    files.insert(problem.file);
  }
  CHECK(files == std::set<std::string>{"base.json", "site-0.json", "site-1.json"});
  CHECK(problems.size() == 5);
}

}  // namespace
}  // namespace poplarmoor
