#pragma once

#include <array>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "kernel/rank.h"
#include "kernel/time.h"
#include "load/check_result.h"
#include "load/rank_stats.h"
#include "load/request_record.h"

namespace poplarmoor {

/// Results of one run of the load tool.
struct LoadReport {
  CheckResult checks;
  std::array<RankStats, kRankCount> ranks;
  // Number of requests whose verdict is not `ran`, by "VERDICT:REASON".
  std::map<std::string, uint64_t> reasons;
  // Longest time between two successive acknowledged writes, or from the last one to the end of the
  // load, by service.
  std::map<std::string, Duration> failover_gap;
  std::map<std::string, uint64_t> writes;  // Number of acknowledged writes, by service.
  // Name of the primary whose log was compared with the answers, by service.
  std::map<std::string, std::string> log_primaries;
  // Names of the services whose answers were not compared with a log, because no log of a primary
  // could be read.
  std::vector<std::string> unchecked_services;
  // Time that each new configuration revision took from the first daemon's report of it to the last
  // daemon's.
  std::vector<Duration> config_in_force;
  int idle_connections = 0;       // Number of connections held open without requests.
  int idle_connections_lost = 0;  // Number of these connections that the peer closed.
  Duration duration{0};

  /// Evaluates the requests: adds them to the counts and latencies in `ranks` and to `reasons`, and
  /// sets `writes`, `failover_gap` and `duration`.
  /// @param records All requests of the run.
  /// @param targets Target latency of each rank.
  /// @param end Time from the start of the load to its end.
  void AddRecords(const std::vector<RequestRecord>& records,
                  const std::array<Duration, kRankCount>& targets,
                  Duration end);

  /// @returns The report as JSON.
  nlohmann::json ToJson() const;
};

}  // namespace poplarmoor
