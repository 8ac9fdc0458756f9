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
  std::map<std::string, uint64_t> reasons;           // "VERDICT:REASON" to count.
  std::map<std::string, Duration> failover_gap;      // Longest, by service.
  std::map<std::string, uint64_t> writes;            // Acknowledged, by service.
  std::map<std::string, std::string> log_primaries;  // Endpoint whose log was compared.
  std::vector<std::string> unchecked_services;       // Whose logs could not be read.
  std::vector<Duration> config_in_force;             // One for each change seen.
  int idle_connections = 0;                          // Held without requests during the run.
  int idle_connections_lost = 0;                     // Of these, closed before its end.
  Duration duration{0};

  /// Fills the counts of ranks and reasons, and the failover gaps.
  /// @param records All requests.
  /// @param targets Target latency of each rank.
  /// @param end End of the load, since its start.
  void AddRecords(const std::vector<RequestRecord>& records,
                  const std::array<Duration, kRankCount>& targets,
                  Duration end);

  /// @returns The report in JSON.
  nlohmann::json ToJson() const;
};

}  // namespace poplarmoor
