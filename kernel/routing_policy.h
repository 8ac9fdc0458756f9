#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kernel/group_view.h"
#include "kernel/log_position.h"
#include "kernel/registry.h"
#include "kernel/statement_request.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Properties of a request that routing depends on.
struct RouteRequest {
  Operation operation = Operation::kRead;
  // Log position of the session's newest write; a position with term 0 means no write is known.
  LogPosition required;
  // Whether the request must go to the primary: the position of the session's newest write is
  // unknown or no longer in the group's log, or a replica lagged at an earlier attempt.
  bool primary_required = false;
  std::optional<Duration> max_staleness;  // Maximum staleness of a replica's data; none: no limit.
};

/// Chooses the endpoints for a request. Plug-ins are registered in Registry<RoutingPolicy>:
/// fresh_replicas, writer_to_primary, primary_only and round_robin. No policy returns a leaving
/// endpoint.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  /// @param request The request.
  /// @param group State and load of the group.
  /// @param now Current time.
  /// @param random Uniformly distributed random bits.
  /// @returns Names of endpoints, the best first. Empty when no endpoint can serve the request now,
  ///     for example a write during a promotion.
  virtual std::vector<std::string> Candidates(const RouteRequest& request,
                                              const GroupView& group,
                                              TimePoint now,
                                              uint64_t random) = 0;
};

}  // namespace poplarmoor
