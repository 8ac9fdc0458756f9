#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace poplarmoor {

/// Counts and latencies of the requests of one rank.
struct RankStats {
  uint64_t offered = 0;           // Requests sent.
  uint64_t answered = 0;          // Requests with verdict `ran`.
  uint64_t refused_not_run = 0;   // Requests with verdict `not_run`.
  uint64_t may_have_run = 0;      // Requests with verdict `may_have_run` or without an answer.
  uint64_t not_sent = 0;          // Requests skipped because no session was free.
  uint64_t in_target = 0;         // Requests answered within the rank's target latency.
  std::vector<Duration> latency;  // Latencies of the answered requests.

  /// @param share Share of the answers, for example 0.99.
  /// @returns The latency that this share of the answers does not exceed; 0 if there are no
  /// answers.
  Duration Percentile(double share) const;
};

}  // namespace poplarmoor
