#pragma once

#include "kernel/name_table.h"
#include "kernel/random.h"
#include "kernel/time.h"

namespace poplarmoor {

/// State of the circuit breaker for platform calls.
enum class BreakerState {
  kClosed,
  kOpen,      // Calls are blocked until the next trial call.
  kHalfOpen,  // One trial call is in progress.
};

inline constexpr NameTable<BreakerState, 3> kBreakerStateNames{{{
    {BreakerState::kClosed, "closed"},
    {BreakerState::kOpen, "open"},
    {BreakerState::kHalfOpen, "half_open"},
}}};

/// Limits of a daemon's platform calls.
struct PlatformBudgetOptions {
  double calls_per_second = 4.0;  // Refill rate of the token bucket; a call takes one token.
  double burst = 20.0;            // Size of the token bucket.
  // Number of tokens that are kept for urgent calls, those of a promotion.
  double reserve = 8.0;
  Duration backoff_base = 200ms;   // Delay after one failure; doubles with each further one.
  Duration backoff_cap = 10000ms;  // Maximum delay after failures.
  int breaker_failures = 5;        // Consecutive failures after which the circuit breaker opens.
  // Maximum delay of an urgent call after the last failure, while the breaker is open.
  Duration urgent_retry = 1000ms;
  // Time after which a trial call without an outcome is given up, so that another may be sent.
  Duration trial_timeout = 5000ms;
};

/// Decides whether this daemon may call the platform now. It combines a token bucket, a jittered
/// exponential backoff after failures, and a circuit breaker that admits one trial call at a time.
class PlatformBudget {
 public:
  /// @param options Limits of the platform calls.
  /// @param random Random number generator; must outlive this object.
  PlatformBudget(PlatformBudgetOptions options, RandomEngine* random);

  /// Requests permission for one call.
  /// @param urgent Whether the call belongs to a promotion. An urgent call may use the reserve, and
  ///     the backoff does not delay it while the circuit breaker is closed.
  /// @returns Whether the call may be sent. Report its outcome with OnSuccess or OnFailure.
  bool TryTake(TimePoint now, bool urgent);

  /// Reports that the platform answered; a version conflict also counts as an answer.
  void OnSuccess();

  /// Reports that a platform call was lost, timed out or failed.
  void OnFailure(TimePoint now);

  /// @returns State of the circuit breaker.
  BreakerState State() const { return this->breaker; }

  /// @returns Time until which the backoff blocks calls that are not urgent.
  TimePoint NextCall() const { return this->not_before; }

 private:
  PlatformBudgetOptions options;
  RandomEngine* random;
  double tokens = 0.0;
  bool started = false;
  TimePoint last_refill;
  int failures = 0;      // Number of consecutive failed calls.
  TimePoint not_before;  // Earliest time of the next call that is not urgent.
  TimePoint last_failure;
  TimePoint trial_start;
  BreakerState breaker = BreakerState::kClosed;
};

}  // namespace poplarmoor
