#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/rank.h"

namespace poplarmoor {

/// Load of one rank.
struct RankLoad {
  double rate = 0;      // Requests a second, open loop.
  int target_ms = 500;  // An answer within this time counts as in target.
};

/// Settings of the load tool.
struct LoadOptions {
  std::vector<std::string> daemons;  // Callers' listeners, "IP:port".
  bool direct = false;               // Straight to the endpoints, without the proxy.
  int direct_connections = 20;       // Data connections to each primary in direct mode.
  std::map<std::string, std::vector<std::string>> endpoints;  // Addresses by service.
  std::vector<std::string> operators;                         // Operators' listeners.
  std::string operator_token;
  bool watch_config = false;  // Measure how long new configuration takes to be in force.
  std::vector<std::string> services;
  std::vector<std::string> sites;
  int duration_s = 10;
  std::array<RankLoad, kRankCount> ranks{{{10, 200}, {20, 500}, {20, 2000}}};
  int sessions = 100;  // Also the bound on outstanding requests.
  uint64_t seed = 1;
  int deadline_ms = 2000;
  double transactions = 0.05;   // Share of the urgent and standard requests.
  double nonrepeatable = 0.05;  // Share of their writes.
  int settle_ms = 3000;         // From the last answer to reading the logs.
  int log_attempts = 15;        // To read a service's logs, one a second, for a promotion to end.
  int idle_connections = 0;     // Connections held open without requests.
  bool forbid_cuts = false;     // A request cut in flight is a broken promise.
};

}  // namespace poplarmoor
