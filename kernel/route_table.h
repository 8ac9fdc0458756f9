#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/name_table.h"
#include "kernel/organisation/organisation_table.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Guarantee about which commits a read on a route sees.
enum class Consistency {
  kPrimary,    // A read runs at the primary and sees every commit.
  kBounded,    // A read may miss commits that are younger than DatabaseRoute::max_staleness.
  kOwnWrites,  // As kBounded, but a read sees every commit of its own session.
};

inline constexpr NameTable<Consistency, 3> kConsistencyNames{{{
    {Consistency::kPrimary, "primary"},
    {Consistency::kBounded, "bounded"},
    {Consistency::kOwnWrites, "own_writes"},
}}};

/// Service that runs the statements of one database's sessions, and the settings of these sessions.
struct DatabaseRoute {
  std::string name;
  std::string database;  // Database name that callers connect to.
  std::string service;
  Consistency consistency = Consistency::kPrimary;
  Duration statement_timeout = 1s;     // Timeout of a single statement.
  Duration latency_objective = 250ms;  // Latency objective of a caller's whole operation.
  // A read may miss only commits that are younger than this; 0: a read sees every commit.
  Duration max_staleness{};
  int rank = 0;  // Priority of the statements; 0 is the most urgent.
  // Whether callers need an API key, if the configuration has organisations.
  bool requires_key = true;
};

/// Connection limit and other settings of one service.
struct PooledService {
  std::string name;
  uint32_t max_connections = 1;  // Connection limit of each endpoint, for all callers together.
  // Number of replicas that must have a commit before it is acknowledged.
  uint32_t synchronous_replicas = 0;
  // Shortest latency_objective of all database routes that use this service.
  Duration shortest_latency_objective = 250ms;
};

/// One version of the routes and services.
struct RouteTable {
  uint64_t version = 0;
  std::map<std::string, DatabaseRoute, std::less<>> routes;  // Routes by database name.
  std::map<std::string, PooledService, std::less<>> services;
  // Longest time that a transaction may wait for its next statement. Then it may be rolled back.
  Duration transaction_idle_limit = 3s;
  // Organisations and their keys; empty: callers need no key and have no limits.
  std::optional<OrganisationTable> organisations;

  /// Sets each service's shortest_latency_objective from the routes that use the service.
  void SetShortestObjectives() {
    std::map<std::string_view, Duration> shortest;  // Shortest latency objective by service.
    for (const auto& [database, route] : this->routes) {
      const auto [place, added] = shortest.emplace(route.service, route.latency_objective);
      place->second = std::min(place->second, route.latency_objective);
    }
    for (auto& [name, service] : this->services) {
      const auto found = shortest.find(name);
      service.shortest_latency_objective =
          found == shortest.end() ? service.shortest_latency_objective : found->second;
    }
  }

  /// @param database Database name that a caller connects to.
  /// @returns The route of the database, or null when there is none.
  const DatabaseRoute* Find(std::string_view database) const {
    const auto found = this->routes.find(database);
    return found == this->routes.end() ? nullptr : &found->second;
  }
};

}  // namespace poplarmoor
