#include "config/daemon_settings.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "config/config_problem.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

json MinimalSettings() {
  return json::parse(R"({
    "daemon": "entry-1", "failure_domain": "portmore",
    "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
    "platform": "127.0.0.1:4", "keys_file": "keys.json", "operator_token_file": "token"})");
}

std::vector<ConfigProblem> ProblemsOf(const json& document) {
  try {
    ParseDaemonSettings(document.dump(), "/etc/poplarmoor/daemon.json");
  } catch (const ConfigError& error) {
    return error.problems;
  }
  return {};
}

std::string WriteTemporary(const std::string& name, const std::string& text) {
  const auto path = std::filesystem::temp_directory_path() / (std::to_string(getpid()) + name);
  std::ofstream(path) << text;
  return path.string();
}

TEST_CASE(
    "settings that a file omits have default values, and relative paths are resolved from the "
    "file's directory") {
  const auto settings =
      ParseDaemonSettings(MinimalSettings().dump(), "/etc/poplarmoor/daemon.json");
  CHECK(settings.control.probe == std::chrono::milliseconds(500));
  CHECK(settings.limits.stop_limit == std::chrono::milliseconds(10000));
  CHECK(settings.keys_file == "/etc/poplarmoor/keys.json");
  CHECK(settings.log.file.empty());
}

TEST_CASE("values that a settings file sets replace the defaults and are not silently ignored") {
  json document = MinimalSettings();
  document["limits"]["stop_limit_ms"] = 1234;
  document["limits"]["max_body"] = 4096;
  document["control"]["electing_ms"] = 999;
  document["log"] = {{"level", "warn"}, {"file", "daemon.log"}, {"format", "text"}};
  document["seed_peers"] = {
      {{"daemon", "entry-2"}, {"address", "127.0.0.2:3"}, {"failure_domain", "biella"}}};
  const auto settings = ParseDaemonSettings(document.dump(), "/srv/d.json");
  CHECK(settings.limits.stop_limit == std::chrono::milliseconds(1234));
  CHECK(settings.limits.max_body == 4096);
  CHECK(settings.control.electing == std::chrono::milliseconds(999));
  CHECK(settings.log.level == LogLevel::kWarn);
  CHECK(settings.log.format == LogFormat::kText);
  CHECK(settings.log.file == "/srv/daemon.log");
  REQUIRE(settings.seed_peers.size() == 1);
  CHECK(settings.seed_peers[0].failure_domain == "biella");
}

TEST_CASE("an unknown settings key is refused with a suggestion of the nearest known key") {
  json document = MinimalSettings();
  document["limits"]["stop_limt_ms"] = 5;
  const auto problems = ProblemsOf(document);
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].file == "/etc/poplarmoor/daemon.json");
  CHECK(problems[0].pointer == "/limits/stop_limt_ms");
  CHECK(problems[0].value == "5");
  CHECK(problems[0].message.find("'stop_limit_ms'") != std::string::npos);
  CHECK(problems[0].allowed.find("max_body") != std::string::npos);
}

TEST_CASE("all problems of a settings file are reported, not only the first") {
  json document = MinimalSettings();
  document.erase("daemon");
  document["threads"] = -1;
  document["log"]["level"] = "loud";
  const auto problems = ProblemsOf(document);
  REQUIRE(problems.size() == 3);
  CHECK(problems[0].pointer == "/daemon");
  CHECK(problems[1].pointer == "/log/level");
  CHECK(problems[1].value == "\"loud\"");
  CHECK(problems[1].allowed == "debug, info, warn, error");
  CHECK(problems[2].pointer == "/threads");
  CHECK(problems[2].allowed == "integer from 0 to 256");
}

TEST_CASE("malformed listener addresses are refused when the settings are parsed") {
  for (const char* address : {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.256:1", "1.2.3:4", ":5"}) {
    json document = MinimalSettings();
    document["listen"]["peers"] = address;
    const auto problems = ProblemsOf(document);
    INFO(address);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].pointer == "/listen/peers");
  }
}

TEST_CASE(
    "a settings key that occurs twice is refused, because one of its two values would be ignored") {
  const std::string text = R"({"daemon": "a", "daemon": "b"})";
  CHECK_THROWS_AS(ParseDaemonSettings(text, "x.json"), ConfigError);
}

TEST_CASE("an empty keys file is refused, and no error about a keys file contains a secret") {
  const std::string empty = WriteTemporary("empty-keys", "");
  CHECK_THROWS_AS(ReadKeysFile(empty), ConfigError);
  const std::string secret = "00112233445566778899aabbccddeeff";
  const std::string broken = WriteTemporary(
      "broken-keys", R"({"current": "b", "keys": {"a": ")" + secret + R"(", "c": "0011zz"}})");
  try {
    ReadKeysFile(broken);
    FAIL("the broken file was accepted");
  } catch (const ConfigError& error) {
    CHECK(error.problems.size() == 2);
    CHECK(std::string(error.what()).find("0011") == std::string::npos);
  }
  const std::string good =
      WriteTemporary("good-keys", R"({"current": "a", "keys": {"a": ")" + secret + R"("}})");
  CHECK(ReadKeysFile(good).keys.at("a").size() == 16);
  for (const std::string& path : {empty, broken, good}) {
    std::filesystem::remove(path);
  }
}

}  // namespace
}  // namespace poplarmoor
