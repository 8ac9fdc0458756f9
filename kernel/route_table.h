#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "kernel/name_table.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Commits that a read on a route may miss.
enum class Consistency {
  kPrimary,    // A read misses no commits: it runs at the primary.
  kBounded,    // A read may miss commits younger than the bound.
  kOwnWrites,  // As kBounded, but a read misses no commit of its own session.
};

inline constexpr NameTable<Consistency, 3> kConsistencyNames{{{
    {Consistency::kPrimary, "primary"},
    {Consistency::kBounded, "bounded"},
    {Consistency::kOwnWrites, "own_writes"},
}}};

/// Service and settings for the sessions of one database.
struct DatabaseRoute {
  std::string name;
  std::string database;  // Database name that callers connect to.
  std::string service;
  Consistency consistency = Consistency::kPrimary;
  Duration statement_timeout = 1s;     // Timeout of a single statement.
  Duration latency_objective = 250ms;  // Latency objective of a caller's whole operation.
  Duration max_staleness{};  // Maximum age of commits that a read may miss; 0: it misses none.
  int rank = 0;              // Priority of the statements; 0 is the most urgent.
};

/// Limits of one service.
struct PooledService {
  std::string name;
  uint32_t max_connections = 1;  // Connection limit of each endpoint, for all callers together.
  // Number of replicas that must have a commit before it is acknowledged.
  uint32_t synchronous_replicas = 0;
  // Shortest latency objective among the service's routes.
  Duration shortest_latency_objective = 250ms;
};

/// One version of the routes and services.
struct RouteTable {
  uint64_t version = 0;
  std::map<std::string, DatabaseRoute, std::less<>> routes;  // Routes by database name.
  std::map<std::string, PooledService, std::less<>> services;
  Duration transaction_idle_limit = 3s;  // Time after which an idle transaction may be ended.

  /// Sets the services' shortest latency objectives from their routes.
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
  /// @returns Its route, or null when there is none.
  const DatabaseRoute* Find(std::string_view database) const {
    const auto found = this->routes.find(database);
    return found == this->routes.end() ? nullptr : &found->second;
  }
};

}  // namespace poplarmoor
