#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace poplarmoor {

/// Counts and latencies of one rank.
struct RankStats {
  uint64_t offered = 0;           // Requests sent.
  uint64_t answered = 0;          // Verdict `ran`.
  uint64_t refused_not_run = 0;   // Verdict `not_run`.
  uint64_t may_have_run = 0;      // Verdict `may_have_run`, or no answer.
  uint64_t not_sent = 0;          // Due while all sessions had a request outstanding.
  uint64_t in_target = 0;         // Answered within the rank's target.
  std::vector<Duration> latency;  // Of answered requests.

  /// @param share For example 0.99.
  /// @returns The latency that this share of the answers does not exceed; 0 without answers.
  Duration Percentile(double share) const;
};

}  // namespace poplarmoor
