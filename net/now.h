#pragma once

#include <chrono>

#include "kernel/time.h"

namespace poplarmoor {

/// @returns The current time of the monotonic clock, as the type that the code in kernel/ uses.
inline TimePoint Now() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// @param time Time on the clock of Now().
/// @returns The same time as a steady_clock time point, for Asio timers.
inline std::chrono::steady_clock::time_point ToSteady(TimePoint time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

}  // namespace poplarmoor
