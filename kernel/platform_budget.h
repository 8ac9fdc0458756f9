#pragma once

#include "kernel/name_table.h"
#include "kernel/random.h"
#include "kernel/time.h"

namespace poplarmoor {

/// State of the circuit breaker for platform calls.
enum class BreakerState {
  kClosed,
  kOpen,      // No calls until the next trial.
  kHalfOpen,  // One trial call is under way.
};

inline constexpr NameTable<BreakerState, 3> kBreakerStateNames{{{
    {BreakerState::kClosed, "closed"},
    {BreakerState::kOpen, "open"},
    {BreakerState::kHalfOpen, "half_open"},
}}};

/// Limits of a daemon's platform calls.
struct PlatformBudgetOptions {
  double calls_per_second = 4.0;  // Refill of the token bucket.
  double burst = 20.0;            // Size of the token bucket.
  double reserve = 8.0;           // Tokens that only calls of a promotion may take.
  Duration backoff_base = 200ms;  // First delay after a failure; doubles up to the cap.
  Duration backoff_cap = 10000ms;
  int breaker_failures = 5;         // Failures in a row that open the circuit breaker.
  Duration urgent_retry = 1000ms;   // Upper limit of the delay of a promotion's calls.
  Duration trial_timeout = 5000ms;  // After which a trial without an outcome is given up.
};

/// Decides whether this daemon may call the platform now: a token bucket, a jittered exponential
/// delay after failures, and a circuit breaker that admits one trial at a time.
class PlatformBudget {
 public:
  /// @param options Limits.
  /// @param random Generator; must outlive the object.
  PlatformBudget(PlatformBudgetOptions options, RandomEngine* random);

  /// Asks for one call.
  /// @param urgent The call belongs to a promotion: it may use the reserve, and it is not delayed
  ///     by the backoff while the circuit breaker is closed.
  /// @returns Whether the call may be sent. Report its outcome by OnSuccess or OnFailure.
  bool TryTake(TimePoint now, bool urgent);

  /// Reports an answer of the platform, including a conflict.
  void OnSuccess();

  /// Reports a lost, late or failed call.
  void OnFailure(TimePoint now);

  /// @returns State of the circuit breaker.
  BreakerState State() const { return this->breaker; }

  /// @returns Earliest time of the next call that is not urgent.
  TimePoint NextCall() const { return this->not_before; }

 private:
  PlatformBudgetOptions options;
  RandomEngine* random;
  double tokens = 0.0;
  bool started = false;
  TimePoint refilled;
  int failures = 0;  // In a row.
  TimePoint not_before;
  TimePoint failed;  // Time of the newest failure.
  TimePoint trial_started;
  BreakerState breaker = BreakerState::kClosed;
};

}  // namespace poplarmoor
