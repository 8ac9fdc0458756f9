#include "kernel/platform_budget.h"

#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

TEST_CASE(
    "a daemon stays within its budget of platform calls, so that all daemons together do not "
    "exceed the call rate that the platform allows") {
  RandomEngine random(1);
  PlatformBudget budget({}, &random);
  int calls = 0;
  int urgent = 0;
  for (TimePoint now; now < TimePoint(100s); now += 10ms) {
    if (budget.TryTake(now, false)) {
      ++calls;
      budget.OnSuccess();
    }
  }
  CHECK(calls <= 4 * 100 + 20);
  CHECK(calls >= 4 * 100 - 20);
  while (budget.TryTake(TimePoint(100s), true)) {
    ++urgent;
  }
  CHECK(urgent >= 8);  // Non-urgent calls leave a reserve of calls for a promotion.
}

TEST_CASE(
    "failed platform calls increase the delay before the next call, up to a maximum, and open the "
    "circuit breaker, so that a recovering platform is not overloaded") {
  RandomEngine random(2);
  PlatformBudget budget({}, &random);
  std::vector<TimePoint> attempts;
  for (TimePoint now; now < TimePoint(120s); now += 10ms) {
    if (budget.TryTake(now, false)) {
      attempts.push_back(now);
      budget.OnFailure(now);
    }
  }
  CHECK(budget.State() == BreakerState::kOpen);
  CHECK(attempts.size() >= 12);
  CHECK(attempts.size() <= 40);
  for (size_t i = 8; i < attempts.size(); ++i) {
    CHECK(attempts[i] - attempts[i - 1] >= 5s);
    CHECK(attempts[i] - attempts[i - 1] <= 10s + 10ms);
  }
  const TimePoint trial = budget.NextCall();
  CHECK(budget.TryTake(trial, false));
  CHECK(budget.State() == BreakerState::kHalfOpen);
  CHECK_FALSE(budget.TryTake(trial, true));  // One trial call at a time is allowed.
  budget.OnSuccess();
  CHECK(budget.State() == BreakerState::kClosed);
  CHECK(budget.TryTake(trial, false));
}

TEST_CASE(
    "an open circuit breaker delays the platform call of a promotion by at most a second, so that "
    "a failover stays short") {
  RandomEngine random(3);
  PlatformBudget budget({}, &random);
  TimePoint now;
  for (int i = 0; i < 12; ++i) {
    now = std::max(now, budget.NextCall());
    REQUIRE(budget.TryTake(now, false));
    budget.OnFailure(now);
  }
  CHECK_FALSE(budget.TryTake(now + 900ms, true));
  CHECK_FALSE(budget.TryTake(now + 1000ms, false));
  CHECK(budget.TryTake(now + 1000ms, true));
}

}  // namespace
}  // namespace poplarmoor
