#pragma once

#include <string>
#include <vector>

#include "kernel/time.h"

namespace poplarmoor {

/// What a daemon knows of an endpoint that may serve a read.
struct ReadCandidate {
  std::string id;
  bool same_failure_domain = false;
  bool is_primary = false;
  bool usable = true;       // Not leaving and not known to lag.
  bool relayed = false;     // Another daemon has to pass the read on.
  uint32_t busy = 0;        // Statements of this daemon that run or wait there.
  uint32_t limit = 1;       // Statements that this daemon runs there at once.
  Duration service_time{};  // Smoothed time of a statement, queueing included.
};

/// Orders endpoints for a read: the least expected delay first.
/// @param candidates Endpoints of the service.
/// @returns Ids of the usable ones, best first.
std::vector<std::string> OrderForRead(const std::vector<ReadCandidate>& candidates);

}  // namespace poplarmoor
