#include "kernel/platform_budget.h"

#include <algorithm>
#include <chrono>

namespace poplarmoor {

PlatformBudget::PlatformBudget(PlatformBudgetOptions options, RandomEngine* random)
    : options(options), random(random), tokens(options.burst) {}

bool PlatformBudget::TryTake(TimePoint now, bool urgent) {
  if (!this->started) {
    this->started = true;
    this->last_refill = now;
  }
  const double seconds = std::chrono::duration<double>(now - this->last_refill).count();
  this->last_refill = now;
  this->tokens =
      std::min(this->options.burst, this->tokens + seconds * this->options.calls_per_second);
  if (this->breaker == BreakerState::kHalfOpen &&
      now - this->trial_start < this->options.trial_timeout) {
    return false;
  }
  if (this->failures > 0) {
    const TimePoint urgent_time =
        this->breaker == BreakerState::kClosed
            ? now
            : std::min(this->not_before, this->last_failure + this->options.urgent_retry);
    if (now < (urgent ? urgent_time : this->not_before)) {
      return false;
    }
  }
  if (this->tokens < (urgent ? 1.0 : 1.0 + this->options.reserve)) {
    return false;
  }
  this->tokens -= 1.0;
  if (this->breaker != BreakerState::kClosed) {
    this->breaker = BreakerState::kHalfOpen;
    this->trial_start = now;
  }
  return true;
}

void PlatformBudget::OnSuccess() {
  this->failures = 0;
  this->breaker = BreakerState::kClosed;
}

void PlatformBudget::OnFailure(TimePoint now) {
  constexpr int kMaxDoublings = 16;
  const Duration full_delay =
      std::min(this->options.backoff_cap,
               this->options.backoff_base * (1 << std::min(this->failures, kMaxDoublings)));
  ++this->failures;
  this->last_failure = now;
  // The next call waits a random time between half and all of the delay, so that daemons that
  // failed at the same time do not retry at the same time.
  this->not_before = now + full_delay / 2 + RandomDuration(this->random, full_delay / 2);
  if (this->failures >= this->options.breaker_failures ||
      this->breaker == BreakerState::kHalfOpen) {
    this->breaker = BreakerState::kOpen;
  }
}

}  // namespace poplarmoor
