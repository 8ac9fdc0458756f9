#pragma once

#include <chrono>

namespace poplarmoor {

using Duration = std::chrono::microseconds;

/// Clock type of the kernel. It has no now(): the caller passes the time in, so that tests can use
/// a virtual clock.
struct KernelClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<KernelClock>;
  // The C++ standard requires a clock to have a member of this name.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using TimePoint = KernelClock::time_point;

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

/// Converts a duration to whole milliseconds for protocols and settings.
/// @param duration Any duration.
/// @returns Milliseconds, rounded towards zero.
constexpr int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace poplarmoor
