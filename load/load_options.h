#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/rank.h"

namespace poplarmoor {

/// Rate and target latency of the requests of one rank.
struct RankLoad {
  // Requests sent per second, also while earlier requests are unanswered (open loop).
  double rate = 0;
  // Target latency; the report counts the answers that take no longer in RankStats::in_target.
  int target_ms = 500;
};

/// Settings of the load tool.
struct LoadOptions {
  std::vector<std::string> daemons;  // Addresses of the callers' listeners, "IP:port".
  bool direct = false;               // True: sends calls to the endpoints instead of the proxy.
  int direct_connections = 20;  // Maximum number of data connections to a primary, if `direct`.
  std::map<std::string, std::vector<std::string>> endpoints;  // Endpoint addresses by service.
  std::vector<std::string> operators;  // Addresses at which daemons serve the operators' API.
  std::string operator_token;
  // True: measures how long a new configuration takes to reach all daemons.
  bool watch_config = false;
  std::vector<std::string> services;
  std::vector<std::string> sites;
  int duration_s = 10;
  std::array<RankLoad, kRankCount> ranks{{{10, 200}, {20, 500}, {20, 2000}}};
  int sessions = 100;  // Number of sessions. Each sends one request at a time.
  uint64_t seed = 1;
  int deadline_ms = 2000;
  double transactions = 0.05;  // Share of transactions among urgent and standard requests.
  // Share of non-repeatable requests among writes and transactions.
  double nonrepeatable = 0.05;
  // Time from the last answer until the load tool reads the endpoints' logs. Requests that an
  // endpoint runs after their answer, but within this time, are therefore in the logs.
  int settle_ms = 3000;
  // Maximum number of attempts to read a service's logs, one second apart. If a replica is being
  // promoted when the load ends, these attempts give the promotion time to finish.
  int log_attempts = 15;
  int idle_connections = 0;  // Number of connections to hold open without requests.
  // True: the load tool exits with code 1, as for a violation, if a connection was closed while a
  // request awaited its answer.
  bool forbid_cuts = false;
};

}  // namespace poplarmoor
