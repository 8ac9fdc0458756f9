#pragma once

#include <atomic>
#include <cstdint>

namespace poplarmoor {

/// Counts the bytes that connections exchange, without TCP and IP headers. Thread-safe.
struct TrafficCounter {
  std::atomic<uint64_t> sent{0};      // Bytes.
  std::atomic<uint64_t> received{0};  // Bytes.
};

}  // namespace poplarmoor
