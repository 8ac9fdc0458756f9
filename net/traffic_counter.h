#pragma once

#include <atomic>
#include <cstdint>

namespace poplarmoor {

/// Counts the bytes that this program sends and receives over connections, without TCP and IP
/// headers. Thread-safe.
struct TrafficCounter {
  std::atomic<uint64_t> sent{0};      // Bytes sent so far.
  std::atomic<uint64_t> received{0};  // Bytes received so far.
};

}  // namespace poplarmoor
