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

/// Defaults of a pool of servers.
struct PoolSettings {
  int slots = 1;            // Statements that an endpoint runs at once.
  int connections = 2;      // Connections that the system may open to each endpoint.
  Duration connect_time{};  // Expected time to open a connection.
};

/// Unit "common".
struct CommonUnit {
  std::string deployment;
  std::map<std::string, std::string> sites;    // Failure domain by site.
  std::map<std::string, PoolSettings> pools;   // By name.
  std::array<RankOverride, kRankCount> ranks;  // Indexed by Rank.
};

/// Unit "service.NAME".
struct ServiceUnit {
  std::string name;
  std::string pool;
  std::vector<std::string> sites;
  std::optional<std::string> admission;
  AcknowledgeMode acknowledge = AcknowledgeMode::kQuorum;
  bool records_request_ids = true;
  std::optional<int> slots;              // Instead of the pool's.
  std::optional<int> connections;        // Instead of the pool's.
  std::optional<Duration> connect_time;  // Instead of the pool's.
  SettingsOverride settings;
};

/// Unit "site.SITE": the overlay of one site.
struct SiteUnit {
  std::string site;
  SettingsOverride settings;                         // For all services.
  std::map<std::string, SettingsOverride> services;  // By service; applied last.
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
/// @returns The unit, or nothing when the overlay has been removed.
/// @throws ConfigError when the content is malformed.
std::optional<SiteUnit> ParseSiteUnit(const std::string& content);

/// Reads the content of a platform object group/SERVICE.
/// @param content JSON text.
/// @param version Version of the platform object.
/// @returns The group.
/// @throws ConfigError when the content is malformed.
GroupState ParseGroup(const std::string& content, uint64_t version);

/// @param group A group.
/// @returns JSON text of its platform object.
std::string FormatGroup(const GroupState& group);

}  // namespace poplarmoor
