#pragma once

#include <string>
#include <vector>

#include "kernel/placement/region_map.h"
#include "kernel/time.h"

namespace poplarmoor {

/// State of an endpoint that may serve a read, as this daemon knows it.
struct ReadCandidate {
  std::string id;
  Distance distance = Distance::kSameRegion;  // From this daemon.
  bool is_primary = false;
  bool usable = true;    // The endpoint is not leaving and is not known to lag.
  bool relayed = false;  // The read has to be sent through another daemon.
  uint32_t busy = 0;     // Statements of this daemon that run on the endpoint or wait for it.
  uint32_t limit = 1;    // Maximum number of this daemon's statements running on the endpoint.
  // Preference among endpoints of similar expected delay; the highest goes first. Equal values: the
  // delay alone decides.
  uint64_t affinity = 0;
  Duration service_time{};  // Smoothed time of a statement, queueing at the endpoint included.
};

/// Orders endpoints for a read by expected delay, shortest first. Among the endpoints whose delay
/// is at most 5 ms above the shortest one, the one with the highest affinity goes first.
/// @param candidates Endpoints of the service.
/// @returns Ids of the usable endpoints, shortest expected delay first.
std::vector<std::string> OrderForRead(const std::vector<ReadCandidate>& candidates);

}  // namespace poplarmoor
