#include "config/daemon_settings.h"

#include <array>
#include <charconv>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "config/address_check.h"
#include "config/json_file.h"
#include "config/schemas.h"

namespace poplarmoor {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// Shortest accepted key or token, in bytes. KeyRing accepts no shorter key.
constexpr size_t kMinSecretBytes = 16;

template <typename Owner>
using MillisecondsField = std::pair<const char*, milliseconds Owner::*>;

constexpr std::array<MillisecondsField<DaemonLimits>, 4> kLimitTimes{{
    {"idle_timeout_ms", &DaemonLimits::idle_timeout},
    {"read_timeout_ms", &DaemonLimits::read_timeout},
    {"stop_limit_ms", &DaemonLimits::stop_limit},
    {"max_deadline_ms", &DaemonLimits::max_deadline},
}};

constexpr std::array<std::pair<const char*, size_t DaemonLimits::*>, 5> kLimitCounts{{
    {"max_body", &DaemonLimits::max_body},
    {"memory_mb", &DaemonLimits::memory_mb},
    {"max_connections", &DaemonLimits::max_connections},
    {"max_in_flight", &DaemonLimits::max_in_flight},
    {"trace_store", &DaemonLimits::trace_store},
}};

constexpr std::array<MillisecondsField<ControlTiming>, 14> kControlTimes{{
    {"probe_ms", &ControlTiming::probe},
    {"probe_timeout_ms", &ControlTiming::probe_timeout},
    {"gossip_ms", &ControlTiming::membership_probe_interval},
    {"gossip_timeout_ms", &ControlTiming::membership_probe_timeout},
    {"suspicion_ms", &ControlTiming::suspicion},
    {"digest_ms", &ControlTiming::digest},
    {"vm_poll_ms", &ControlTiming::vm_poll},
    {"watch_ms", &ControlTiming::watch},
    {"platform_timeout_ms", &ControlTiming::platform_timeout},
    {"backoff_base_ms", &ControlTiming::backoff_base},
    {"backoff_cap_ms", &ControlTiming::backoff_cap},
    {"electing_ms", &ControlTiming::electing},
    {"promotion_pause_ms", &ControlTiming::promotion_pause},
    {"replication_stall_ms", &ControlTiming::replication_stall},
}};

template <typename Owner, size_t N>
void ReadMillis(const json& object,
                const std::array<MillisecondsField<Owner>, N>& fields,
                Owner* owner) {
  for (const auto& [key, member] : fields) {
    owner->*member = milliseconds(object.value(key, (owner->*member).count()));
  }
}

std::string ResolvePath(const std::string& path, const std::string& settings_file) {
  return (std::filesystem::path(settings_file).parent_path() / path).string();
}

void CheckAddress(const json& document,
                  const std::string& pointer,
                  const std::string& file,
                  std::vector<ConfigProblem>* problems) {
  const auto text = document.at(json::json_pointer(pointer)).get<std::string>();
  if (!IsAddress(text)) {
    problems->push_back({file, pointer, "\"" + text + "\"", "malformed address",
                         "an IPv4 address and a port from 1 to 65535, for example 10.0.0.1:7001"});
  }
}

std::vector<ConfigProblem> CheckSettings(const json& document, const std::string& file) {
  std::vector<ConfigProblem> problems;
  for (const char* pointer :
       {"/listen/callers", "/listen/operators", "/listen/peers", "/platform"}) {
    CheckAddress(document, pointer, file, &problems);
  }
  std::set<std::string> listeners;
  for (const auto& [name, address] : document["listen"].items()) {
    if (!listeners.insert(address).second) {
      problems.push_back({file, "/listen/" + name, address.dump(), "two listeners share an address",
                          "a different address for each listener"});
    }
  }
  const json seeds = document.value("seed_peers", json::array());
  std::set<std::string> daemons;
  for (size_t i = 0; i < seeds.size(); ++i) {
    const std::string pointer = "/seed_peers/" + std::to_string(i);
    CheckAddress(document, pointer + "/address", file, &problems);
    if (!daemons.insert(seeds[i]["daemon"]).second) {
      problems.push_back({file, pointer + "/daemon", seeds[i]["daemon"].dump(),
                          "daemon is listed twice", "each daemon once"});
    }
  }
  const ControlTiming defaults;
  const json control = document.value("control", json::object());
  const auto probe = control.value("probe_ms", defaults.probe.count());
  const auto timeout = control.value("probe_timeout_ms", defaults.probe_timeout.count());
  if (timeout > probe) {
    problems.push_back({file, "/control/probe_timeout_ms", std::to_string(timeout),
                        "a probe would overlap the next one",
                        "at most probe_ms (" + std::to_string(probe) + ")"});
  }
  return problems;
}

bool DecodeHex(const std::string& hex, std::string* bytes) {
  bytes->clear();
  for (size_t i = 0; i + 1 < hex.size(); i += 2) {
    unsigned value = 0;
    const auto parsed = std::from_chars(hex.data() + i, hex.data() + i + 2, value, 16);
    if (parsed.ec != std::errc() || parsed.ptr != hex.data() + i + 2) {
      return false;
    }
    bytes->push_back(static_cast<char>(value));
  }
  return hex.size() % 2 == 0;
}

}  // namespace

DaemonSettings ParseDaemonSettings(const std::string& text, const std::string& file) {
  const json document = ParseJson(text, file);
  std::vector<ConfigProblem> problems = CheckSchema(document, DaemonSettingsSchema(), file);
  if (problems.empty()) {
    problems = CheckSettings(document, file);
  }
  if (!problems.empty()) {
    throw ConfigError(std::move(problems));
  }
  DaemonSettings settings;
  settings.daemon = document["daemon"];
  settings.failure_domain = document["failure_domain"];
  settings.listen.callers = document["listen"]["callers"];
  settings.listen.operators = document["listen"]["operators"];
  settings.listen.peers = document["listen"]["peers"];
  settings.platform = document["platform"];
  for (const json& seed : document.value("seed_peers", json::array())) {
    settings.seed_peers.push_back({seed["daemon"], seed["address"], seed["failure_domain"]});
  }
  settings.keys_file = ResolvePath(document["keys_file"], file);
  settings.operator_token_file = ResolvePath(document["operator_token_file"], file);
  settings.threads = document.value("threads", settings.threads);

  const json log = document.value("log", json::object());
  settings.log.level = *kLogLevelNames.Find(log.value("level", "info"));
  settings.log.format = *kLogFormatNames.Find(log.value("format", "json"));
  settings.log.spans = log.value("spans", settings.log.spans);
  const auto log_file = log.value("file", std::string("stderr"));
  settings.log.file = log_file == "stderr" ? "" : ResolvePath(log_file, file);

  const json limits = document.value("limits", json::object());
  ReadMillis(limits, kLimitTimes, &settings.limits);
  for (const auto& [key, member] : kLimitCounts) {
    settings.limits.*member = limits.value(key, settings.limits.*member);
  }
  const json control = document.value("control", json::object());
  ReadMillis(control, kControlTimes, &settings.control);
  settings.control.retry_share = control.value("retry_share", settings.control.retry_share);
  return settings;
}

DaemonSettings ReadDaemonSettings(const std::string& path) {
  return ParseDaemonSettings(ReadTextFile(path), path);
}

KeySet ReadKeysFile(const std::string& path) {
  const std::string text = ReadTextFile(path);
  const std::string allowed = R"({"current": ID, "keys": {ID: at least 32 hex digits}})";
  std::vector<ConfigProblem> problems;
  KeySet set;
  json document;
  try {
    document = ParseJson(text, path);
  } catch (const ConfigError&) {
    // The parser's message may quote a part of a secret, so the error does not contain it.
    throw ConfigError({{path, "", "", "the keys file is empty or not JSON", allowed}});
  }
  if (!document.is_object() || !document.contains("keys") || !document["keys"].is_object() ||
      document["keys"].empty()) {
    throw ConfigError({{path, "/keys", "", "the keys file has no keys", allowed}});
  }
  for (const auto& [id, hex] : document["keys"].items()) {
    std::string secret;
    if (!hex.is_string() || !DecodeHex(hex.get<std::string>(), &secret) ||
        secret.size() < kMinSecretBytes) {
      problems.push_back(
          {path, JoinPointer("/keys", id), "", "malformed or short key", "at least 32 hex digits"});
    }
    set.keys[id] = std::move(secret);
  }
  if (!document.contains("current") || !document["current"].is_string() ||
      !set.keys.contains(document["current"])) {
    problems.push_back({path, "/current", ShortJson(document.value("current", json())),
                        "no key has this id", "id of one of the keys"});
  } else {
    set.current_key_id = document["current"];
  }
  if (!problems.empty()) {
    throw ConfigError(std::move(problems));
  }
  return set;
}

std::string ReadTokenFile(const std::string& path) {
  const std::string text = ReadTextFile(path);
  const size_t first = text.find_first_not_of(" \t\r\n");
  const size_t last = text.find_last_not_of(" \t\r\n");
  std::string token = first == std::string::npos ? "" : text.substr(first, last - first + 1);
  if (token.size() < kMinSecretBytes) {
    throw ConfigError({{path, "", "", "the operator token is too short",
                        "at least " + std::to_string(kMinSecretBytes) + " characters"}});
  }
  return token;
}

}  // namespace poplarmoor
