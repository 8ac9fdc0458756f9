#pragma once

#include <cstdint>

#include "kernel/time.h"

namespace poplarmoor {

/// Tokens that accrue at a constant rate up to a capacity.
class TokenBucket {
 public:
  /// @param rate Tokens that accrue per second.
  /// @param capacity Largest number of tokens.
  /// @param tokens Number of tokens at the start.
  TokenBucket(double rate, double capacity, double tokens, TimePoint now);

  /// Changes rate and capacity. Tokens beyond the new capacity are lost immediately.
  void SetLimit(double rate, double capacity, TimePoint now);

  /// Takes up to `wanted` whole tokens.
  /// @returns Number of tokens taken.
  uint32_t Take(uint32_t wanted, TimePoint now);

  /// @returns Share of the capacity that is filled, 0 to 1.
  double FillLevel(TimePoint now);

 private:
  void Accrue(TimePoint now);

  double rate;
  double capacity;
  double tokens;
  TimePoint updated;
};

}  // namespace poplarmoor
