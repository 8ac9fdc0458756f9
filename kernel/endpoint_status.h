#pragma once

#include <cstdint>
#include <string>

#include "kernel/log_position.h"
#include "kernel/time.h"

namespace poplarmoor {

/// What an endpoint says of itself on every answer.
struct EndpointStatus {
  std::string endpoint;
  bool is_primary = false;
  uint64_t term = 0;
  uint64_t received = 0;  // Highest received index: safe to promote.
  uint64_t replayed = 0;  // Highest replayed index: safe to read.
  LogPosition last;       // Position of the last received entry.
  Duration staleness{0};  // Age of the replayed state; 0 at the primary.
  int active = 0;         // Statements running now.
};

}  // namespace poplarmoor
