#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/rank.h"

namespace poplarmoor {

/// Load that one rank of requests generates.
struct RankLoad {
  double rate = 0;      // Requests per second, independent of answers (open loop).
  int target_ms = 500;  // Target latency; answers within it count as in target.
};

/// Settings of the load tool.
struct LoadOptions {
  std::vector<std::string> daemons;  // Addresses of the callers' listeners, "IP:port".
  bool direct = false;               // Sends calls to the endpoints, without the proxy.
  int direct_connections = 20;       // Maximum data connections to each primary in direct mode.
  std::map<std::string, std::vector<std::string>> endpoints;  // Endpoint addresses by service.
  std::vector<std::string> operators;                         // Addresses of operators' listeners.
  std::string operator_token;
  bool watch_config = false;  // Measures how long a new configuration takes to be in force.
  std::vector<std::string> services;
  std::vector<std::string> sites;
  int duration_s = 10;
  std::array<RankLoad, kRankCount> ranks{{{10, 200}, {20, 500}, {20, 2000}}};
  int sessions = 100;  // Number of sessions, and the maximum number of outstanding requests.
  uint64_t seed = 1;
  int deadline_ms = 2000;
  double transactions = 0.05;   // Share of transactions among urgent and standard requests.
  double nonrepeatable = 0.05;  // Share of non-repeatable requests among writes.
  int settle_ms = 3000;         // Pause between the last answer and reading the logs.
  // Attempts to read a service's logs, one per second, so that a running promotion can end.
  int log_attempts = 15;
  int idle_connections = 0;  // Connections to hold open without requests.
  bool forbid_cuts = false;  // Treats a connection closed on a request in flight as a violation.
};

}  // namespace poplarmoor
