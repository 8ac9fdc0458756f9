#pragma once

#include <array>
#include <string>
#include <vector>

#include "kernel/name_table.h"
#include "kernel/rank.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Condition on which a write is acknowledged.
enum class AcknowledgeMode {
  // The primary must have run the write, and enough replicas must have received it for the write to
  // survive a promotion.
  kQuorum,
  kPrimary,  // Only the primary must have run the write; a failover may lose it.
};

inline constexpr NameTable<AcknowledgeMode, 2> kAcknowledgeNames{{{
    {AcknowledgeMode::kQuorum, "quorum"},
    {AcknowledgeMode::kPrimary, "primary"},
}}};

/// Settings of one rank of work.
struct RankSettings {
  // Minimum fraction of the slots, 0 to 1, that the rank gets while requests of the rank wait.
  double floor_share = 0.0;
  Duration target = 1000ms;  // Latency target of a request of this rank.
  double worth = 1.0;        // Relative worth of one answered request, for reports.
  size_t max_queue = 256;    // Maximum number of each site's requests that wait for one endpoint.
};

/// Settings of one service as they apply to requests from one site (location of callers): the
/// service's settings with the site's overrides applied.
struct ServiceSettings {
  std::string service;
  std::string pool;                // Name of the endpoint pool, for example "fold-ledger".
  std::vector<std::string> sites;  // Sites that may reach the service.
  AcknowledgeMode acknowledge = AcknowledgeMode::kQuorum;
  bool records_request_ids = true;             // The endpoints recognise a repeated request id.
  int slots = 3;                               // Statements that an endpoint can run in parallel.
  int connections = 25;                        // Connection limit of each endpoint.
  Duration connect_time = 10ms;                // Expected time to open a connection.
  Duration default_deadline = 2000ms;          // Deadline of requests that carry none.
  std::string routing = "fresh_replicas";      // Name of a routing policy plug-in.
  std::string admission = "floors";            // Name of an admission policy plug-in.
  std::array<RankSettings, kRankCount> ranks;  // Settings of each rank, indexed by Rank.
};

}  // namespace poplarmoor
