#pragma once

#include <cstdint>
#include <string>

#include "kernel/log_position.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Status that an endpoint reports with every answer.
struct EndpointStatus {
  std::string endpoint;
  bool is_primary = false;
  uint64_t term = 0;
  // Index of the last received log entry. If this endpoint is promoted, the entries up to this
  // index stay in the group's log.
  uint64_t received = 0;
  // Index of the last log entry replayed. Reads at this endpoint see the data up to this entry.
  uint64_t replayed = 0;
  LogPosition last;       // Position of the last entry in the endpoint's log.
  Duration staleness{0};  // Age of the data that reads at this endpoint see; 0 on the primary.
  int active = 0;         // Number of statements running at the endpoint.
};

}  // namespace poplarmoor
