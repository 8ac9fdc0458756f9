#include "kernel/admission/startup_limit.h"

#include <algorithm>

namespace poplarmoor {

namespace {

// The limit does not grow before this time, so that daemons which start a little later find their
// part of the connections free.
constexpr Duration kGrowthDelay = 1s;
// Time between two steps of growth. It is long enough for a refusal at the endpoint's connection
// limit to reach the daemon before the next step.
constexpr Duration kGrowthInterval = 500ms;

}  // namespace

uint32_t StartupConnectionLimit(uint32_t share, uint32_t borrowed, Duration age) {
  const uint32_t full = std::max<uint32_t>(share + borrowed, 1);
  if (age >= kStartupLimitTime) {
    return full;
  }
  const Duration growing = std::max<Duration>(age - kGrowthDelay, Duration{});
  const auto steps = static_cast<uint32_t>(growing / kGrowthInterval);
  return std::min(std::max<uint32_t>(share / 2, 1) + steps, full);
}

}  // namespace poplarmoor
