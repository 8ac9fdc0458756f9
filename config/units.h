#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings_override.h"
#include "kernel/group_state.h"
#include "kernel/service_settings.h"

namespace poplarmoor {

inline constexpr std::string_view kCommonUnit = "common";
inline constexpr std::string_view kServicePrefix = "service.";
inline constexpr std::string_view kSitePrefix = "site.";

/// Defaults for the endpoints of a pool of database servers.
struct PoolSettings {
  int slots = 1;            // Maximum number of statements that one endpoint runs concurrently.
  int connections = 2;      // Maximum number of connections of all daemons to one endpoint.
  Duration connect_time{};  // Expected time to open a connection.
};

/// Content of the unit "common": settings that all services share.
struct CommonUnit {
  std::string deployment;
  std::map<std::string, std::string> sites;    // Failure domain of each site, by site name.
  std::map<std::string, PoolSettings> pools;   // Pool settings, by pool name.
  std::array<RankOverride, kRankCount> ranks;  // Indexed by Rank.
};

/// Content of the unit "service.NAME": settings of one service.
struct ServiceUnit {
  std::string name;
  std::string pool;
  std::vector<std::string> sites;
  std::optional<std::string> admission;
  AcknowledgeMode acknowledge = AcknowledgeMode::kQuorum;
  bool records_request_ids = true;
  std::optional<int> slots;              // Overrides the pool's slots.
  std::optional<int> connections;        // Overrides the pool's connections.
  std::optional<Duration> connect_time;  // Overrides the pool's connect_time.
  SettingsOverride settings;
};

/// Content of the unit "site.SITE": the overrides of one site.
struct SiteUnit {
  std::string site;
  SettingsOverride settings;  // Overrides for all services at the site.
  // Overrides for one service each, by service name; applied after `settings`.
  std::map<std::string, SettingsOverride> services;
};

/// Reads the content of the unit "common".
/// @param content JSON text.
/// @returns The unit.
/// @throws ConfigError when the content is malformed.
CommonUnit ParseCommonUnit(const std::string& content);

/// Reads the content of a service's unit.
/// @param content JSON text.
/// @returns The unit, or nothing when the service has been removed.
/// @throws ConfigError when the content is malformed.
std::optional<ServiceUnit> ParseServiceUnit(const std::string& content);

/// Reads the content of a site's unit.
/// @param content JSON text.
/// @returns The unit, or nothing when the site's overrides have been removed.
/// @throws ConfigError when the content is malformed.
std::optional<SiteUnit> ParseSiteUnit(const std::string& content);

/// Reads the content of the platform object "group/SERVICE".
/// @param content JSON text.
/// @param version Version of the platform object.
/// @returns The group.
/// @throws ConfigError when the content is malformed.
GroupState ParseGroup(const std::string& content, uint64_t version);

/// @param group State of a group.
/// @returns The JSON text of the group's platform object.
std::string FormatGroup(const GroupState& group);

}  // namespace poplarmoor
