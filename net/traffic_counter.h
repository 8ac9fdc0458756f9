#pragma once

#include <atomic>
#include <cstdint>

namespace poplarmoor {

/// Bytes that several connections exchanged, without the headers of TCP and IP.
struct TrafficCounter {
  std::atomic<uint64_t> sent{0};      // Bytes.
  std::atomic<uint64_t> received{0};  // Bytes.
};

}  // namespace poplarmoor
