#pragma once

#include <chrono>

#include "kernel/time.h"

namespace poplarmoor {

/// @returns The monotonic time of this process, as the kernel takes it.
inline TimePoint Now() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// @param time Time of Now().
/// @returns The same time for timers.
inline std::chrono::steady_clock::time_point ToSteady(TimePoint time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

}  // namespace poplarmoor
