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
  uint64_t received = 0;  // Highest log index received; kept if this endpoint is promoted.
  uint64_t replayed = 0;  // Highest log index replayed; reads see the data up to it.
  LogPosition last;       // Position of the last received entry.
  Duration staleness{0};  // Age of the replayed state; 0 on the primary.
  int active = 0;         // Number of statements that are running.
};

}  // namespace poplarmoor
