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
  // Number of requests with another verdict than `ran`, by "VERDICT:REASON".
  std::map<std::string, uint64_t> reasons;
  // Longest time without an acknowledged write, by service.
  std::map<std::string, Duration> failover_gap;
  std::map<std::string, uint64_t> writes;            // Acknowledged writes by service.
  std::map<std::string, std::string> log_primaries;  // Endpoint whose log was compared, by service.
  std::vector<std::string> unchecked_services;       // Services with unreadable logs.
  // Time from the first to the last daemon that reported a new configuration revision, one for each
  // revision.
  std::vector<Duration> config_in_force;
  int idle_connections = 0;       // Connections held without requests.
  int idle_connections_lost = 0;  // Idle connections closed by the peer.
  Duration duration{0};

  /// Fills the counts of ranks and reasons, the acknowledged writes and the failover gaps (longest
  /// time without an acknowledged write, by service).
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
