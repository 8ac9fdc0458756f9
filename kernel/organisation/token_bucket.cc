#include "kernel/organisation/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace poplarmoor {

namespace {

// Rounding errors of many small additions must not withhold a token that has accrued.
constexpr double kRounding = 1e-6;

}  // namespace

TokenBucket::TokenBucket(double rate, double capacity, double tokens, TimePoint now)
    : rate(rate), capacity(capacity), tokens(std::min(tokens, capacity)), updated(now) {}

void TokenBucket::Accrue(TimePoint now) {
  if (now <= this->updated) {
    return;
  }
  const double seconds = std::chrono::duration<double>(now - this->updated).count();
  this->tokens = std::min(this->capacity, this->tokens + this->rate * seconds);
  this->updated = now;
}

void TokenBucket::SetLimit(double rate, double capacity, TimePoint now) {
  this->Accrue(now);
  this->rate = rate;
  this->capacity = capacity;
  this->tokens = std::min(this->tokens, capacity);
}

uint32_t TokenBucket::Take(uint32_t wanted, TimePoint now) {
  this->Accrue(now);
  const double whole = std::floor(this->tokens + kRounding);
  const double taken = std::min(static_cast<double>(wanted), std::max(whole, 0.0));
  this->tokens -= taken;
  return static_cast<uint32_t>(taken);
}

double TokenBucket::FillLevel(TimePoint now) {
  this->Accrue(now);
  return this->tokens / this->capacity;
}

}  // namespace poplarmoor
