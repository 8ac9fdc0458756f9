#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

#include "kernel/time.h"

namespace poplarmoor {

/// Random number generator of the kernel. Callers pass it in, so that a test can repeat a run from
/// its seed.
using RandomEngine = std::mt19937_64;

/// @param random Random number generator.
/// @param count Number of choices, at least 1.
/// @returns A number from 0 to count - 1.
inline size_t RandomBelow(RandomEngine* random, size_t count) {
  return static_cast<size_t>((*random)() % count);
}

/// @param random Random number generator.
/// @param limit Upper bound of the duration.
/// @returns A duration from 0 to limit.
inline Duration RandomDuration(RandomEngine* random, Duration limit) {
  return Duration(static_cast<int64_t>((*random)() % static_cast<uint64_t>(limit.count() + 1)));
}

}  // namespace poplarmoor
