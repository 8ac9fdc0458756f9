#include "config/units.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "config/config_problem.h"
#include "config/json_file.h"

namespace poplarmoor {

using nlohmann::json;

namespace {

// Parses the JSON text of a unit and returns the result of `reader`. Throws ConfigError when the
// text is malformed or when `reader` finds that a key is missing or has a value of a wrong type.
template <typename Reader>
auto ReadUnit(const std::string& content, const std::string& kind, Reader reader) {
  try {
    return reader(json::parse(content));
  } catch (const json::exception& error) {
    throw ConfigError({{"unit of kind " + kind, "", "", error.what(),
                        "content that the command "
                        "line has stored"}});
  }
}

template <typename Value>
std::optional<Value> ReadOptional(const json& object, const char* key) {
  const auto found = object.find(key);
  return found == object.end() ? std::nullopt : std::optional<Value>(found->get<Value>());
}

std::optional<Duration> ReadMillis(const json& object, const char* key) {
  const auto millis = ReadOptional<int64_t>(object, key);
  return millis ? std::optional<Duration>(std::chrono::milliseconds(*millis)) : std::nullopt;
}

template <typename Enum, size_t N>
Enum ReadEnum(const json& object, const char* key, const NameTable<Enum, N>& names, Enum fallback) {
  const auto name = ReadOptional<std::string>(object, key);
  if (!name) {
    return fallback;
  }
  if (const auto value = names.Find(*name)) {
    return *value;
  }
  throw ConfigError({{"unit", std::string("/") + key, *name, "unknown name", "a known name"}});
}

std::array<RankOverride, kRankCount> ReadRanks(const json& parent) {
  std::array<RankOverride, kRankCount> ranks;
  const json by_name = parent.value("ranks", json::object());
  for (const auto& [name, settings] : by_name.items()) {
    const auto rank = kRankNames.Find(name);
    if (!rank) {
      continue;  // The unit was written by a later version of the program, which has more ranks.
    }
    RankOverride& row = ranks[static_cast<size_t>(*rank)];
    row.floor_share = ReadOptional<double>(settings, "floor_share");
    row.target = ReadMillis(settings, "target_ms");
    row.worth = ReadOptional<double>(settings, "worth");
    row.max_queue = ReadOptional<size_t>(settings, "max_queue");
  }
  return ranks;
}

SettingsOverride ReadOverride(const json& object) {
  SettingsOverride settings;
  settings.ranks = ReadRanks(object);
  settings.deadline = ReadMillis(object, "deadline_ms");
  settings.routing = ReadOptional<std::string>(object, "routing");
  return settings;
}

bool IsRemoved(const json& unit) {
  return unit.value("removed", false);
}

}  // namespace

CommonUnit ParseCommonUnit(const std::string& content) {
  return ReadUnit(content, "common", [](const json& unit) {
    CommonUnit common;
    common.deployment = unit.at("deployment");
    for (const json& site : unit.at("sites")) {
      common.sites[site.at("name")] = site.at("failure_domain");
    }
    for (const json& pool : unit.at("pools")) {
      common.pools[pool.at("name")] = {pool.at("slots"), pool.at("connections"),
                                       std::chrono::milliseconds(pool.at("connect_ms"))};
    }
    common.ranks = ReadRanks(unit);
    return common;
  });
}

std::optional<ServiceUnit> ParseServiceUnit(const std::string& content) {
  return ReadUnit(content, "service", [](const json& unit) -> std::optional<ServiceUnit> {
    if (IsRemoved(unit)) {
      return std::nullopt;
    }
    ServiceUnit service;
    service.name = unit.at("name");
    service.pool = unit.at("pool");
    service.sites = unit.at("sites").get<std::vector<std::string>>();
    service.admission = ReadOptional<std::string>(unit, "admission");
    service.acknowledge =
        ReadEnum(unit, "acknowledge", kAcknowledgeNames, AcknowledgeMode::kQuorum);
    service.records_request_ids = unit.value("records_request_ids", true);
    service.slots = ReadOptional<int>(unit, "slots");
    service.connections = ReadOptional<int>(unit, "connections");
    service.connect_time = ReadMillis(unit, "connect_ms");
    service.settings = ReadOverride(unit);
    return service;
  });
}

std::optional<SiteUnit> ParseSiteUnit(const std::string& content) {
  return ReadUnit(content, "site", [](const json& unit) -> std::optional<SiteUnit> {
    if (IsRemoved(unit)) {
      return std::nullopt;
    }
    SiteUnit site;
    site.site = unit.at("site");
    site.settings = ReadOverride(unit);
    const json by_service = unit.value("services", json::object());
    for (const auto& [service, settings] : by_service.items()) {
      site.services[service] = ReadOverride(settings);
    }
    return site;
  });
}

GroupState ParseGroup(const std::string& content, uint64_t version) {
  return ReadUnit(content, "group", [version](const json& unit) {
    GroupState group;
    group.version = version;
    group.service = unit.at("service");
    group.term = unit.at("term");
    group.phase = ReadEnum(unit, "phase", kGroupPhaseNames, GroupPhase::kElecting);
    group.primary = unit.value("primary", "");
    group.proposer = unit.value("proposer", "");
    for (const json& endpoint : unit.at("endpoints")) {
      group.endpoints.push_back(
          {endpoint.at("name"), endpoint.at("address"), endpoint.at("failure_domain")});
    }
    for (const json& start : unit.at("term_starts")) {
      group.term_starts.push_back({start.at("term"), start.at("index")});
    }
    return group;
  });
}

std::string FormatGroup(const GroupState& group) {
  json unit{{"service", group.service},
            {"term", group.term},
            {"phase", kGroupPhaseNames.NameOf(group.phase)},
            {"primary", group.primary},
            {"proposer", group.proposer},
            {"endpoints", json::array()},
            {"term_starts", json::array()}};
  for (const EndpointInfo& endpoint : group.endpoints) {
    unit["endpoints"].push_back({{"name", endpoint.name},
                                 {"address", endpoint.address},
                                 {"failure_domain", endpoint.failure_domain}});
  }
  for (const TermStart& start : group.term_starts) {
    unit["term_starts"].push_back({{"term", start.term}, {"index", start.index}});
  }
  return unit.dump();
}

}  // namespace poplarmoor
