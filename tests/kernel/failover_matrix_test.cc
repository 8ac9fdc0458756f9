#include <catch2/catch.hpp>

#include "failover_harness.h"

namespace poplarmoor {
namespace {

constexpr std::array<Trigger, 3> kTriggers{Trigger::kPrimaryPaused,
                                           Trigger::kPrimaryReplicationDown, Trigger::kOperator};

std::unique_ptr<Failover> MakeUnmodifiedFailover(const std::string& daemon, RandomEngine* random) {
  return std::make_unique<Failover>(daemon, FailoverOptions(), random);
}

/// Deliberately faulty Failover that promotes after only one endpoint has granted the term.
class SingleGrantFailover : public Failover {
 public:
  using Failover::Failover;

 protected:
  size_t FenceQuorum() const override { return 1; }
};

/// Deliberately faulty Failover that promotes the endpoint with the lowest log position.
class LowestPositionFailover : public Failover {
 public:
  using Failover::Failover;

 protected:
  bool IsBetter(const LogPosition& a, const LogPosition& b) const override { return a < b; }
};

template <typename FaultyFailover>
std::unique_ptr<Failover> MakeFaultyFailover(const std::string& daemon, RandomEngine* random) {
  return std::make_unique<FaultyFailover>(daemon, FailoverOptions(), random);
}

ScenarioResult RunScenario(const Scenario& scenario,
                           const FailoverHarness::MakeFailover& make = MakeUnmodifiedFailover,
                           bool endpoints_fence = true) {
  return FailoverHarness(scenario, make, endpoints_fence).Run();
}

void CheckScenario(const Scenario& scenario) {
  const ScenarioResult result = RunScenario(scenario);
  INFO("base " << static_cast<int>(scenario.trigger) << ", faults "
               << static_cast<int>(scenario.faults[0]) << " at step " << scenario.steps[0]
               << " and " << static_cast<int>(scenario.faults[1]) << " at step "
               << scenario.steps[1] << ", acknowledged " << result.acknowledged);
  CHECK(result.lost == 0);
  CHECK(result.terms_with_two_primaries == 0);
  CHECK(result.completed);
}

/// @returns Number of single-fault scenarios in which an acknowledged write is lost or two
/// primaries acknowledge writes in the same term.
size_t CountUnsafe(const FailoverHarness::MakeFailover& make, bool endpoints_fence) {
  size_t unsafe = 0;
  for (const Trigger trigger : kTriggers) {
    for (int fault = 0; fault < kFaultCount; ++fault) {
      for (int step = 0; step < kStepCount; ++step) {
        const Scenario scenario{trigger, {static_cast<Fault>(fault), Fault::kNone}, {step, 0}, 11};
        const ScenarioResult result = RunScenario(scenario, make, endpoints_fence);
        unsafe += result.lost + result.terms_with_two_primaries > 0 ? 1 : 0;
      }
    }
  }
  return unsafe;
}

TEST_CASE(
    "no single fault at any step of a promotion loses an acknowledged write, lets two primaries "
    "acknowledge writes in one term, or prevents the promotion for good",
    "[matrix]") {
  for (const Trigger trigger : kTriggers) {
    for (int fault = 0; fault < kFaultCount; ++fault) {
      for (int step = 0; step < kStepCount; ++step) {
        for (uint64_t seed = 1; seed <= 3; ++seed) {
          CheckScenario({trigger, {static_cast<Fault>(fault), Fault::kNone}, {step, 0}, seed});
        }
      }
    }
  }
}

TEST_CASE(
    "no pair of faults at any steps of a promotion loses an acknowledged write, lets two primaries "
    "acknowledge writes in one term, or prevents the promotion for good",
    "[matrix]") {
  for (const Trigger trigger : kTriggers) {
    for (int first = 1; first < kFaultCount; ++first) {
      for (int second = 1; second < kFaultCount; ++second) {
        for (int steps = 0; steps < kStepCount * kStepCount; ++steps) {
          if (steps / kStepCount <= steps % kStepCount) {
            CheckScenario({trigger,
                           {static_cast<Fault>(first), static_cast<Fault>(second)},
                           {steps / kStepCount, steps % kStepCount},
                           static_cast<uint64_t>(first * 100 + second)});
          }
        }
      }
    }
  }
}

TEST_CASE(
    "a stalled primary is replaced by another endpoint even if the stalled one has the longest log",
    "[matrix]") {
  RandomEngine random(1);
  Failover failover("p0", FailoverOptions(), &random);
  GroupState group;
  group.version = 1;
  group.term = 1;
  group.primary = "e0";
  group.term_starts = {{1, 0}};
  group.endpoints = {{"e0", "a", "fd"}, {"e1", "b", "fd"}, {"e2", "c", "fd"}};
  failover.UpdateGroup(group, TimePoint(1s));
  REQUIRE(failover.Start(FailoverCause::kStalled, TimePoint(10s)));
  GroupState claimed = failover.TakeActions().at(0).group;
  claimed.version = 2;
  failover.OnUpdate(1, UpdateOutcome::kApplied, claimed, TimePoint(10s));
  failover.OnFence("e0", 2, true, {1, 9}, TimePoint(10s));
  failover.OnFence("e1", 2, true, {1, 5}, TimePoint(10s));
  CHECK(failover.Step() == FailoverStep::kFencing);
  failover.OnFence("e2", 2, true, {1, 7}, TimePoint(10s));
  REQUIRE(failover.Step() == FailoverStep::kRecording);
  CHECK(failover.TakeActions().back().group.primary == "e2");
}

TEST_CASE(
    "the fault tests detect deliberately faulty endpoints that grant a new term but keep "
    "accepting calls of the old term",
    "[matrix]") {
  CHECK(CountUnsafe(MakeUnmodifiedFailover, /*endpoints_fence=*/false) > 0);
}

TEST_CASE(
    "the fault tests detect a deliberately wrong promotion after only one of three endpoints "
    "granted the new term",
    "[matrix]") {
  CHECK(CountUnsafe(MakeFaultyFailover<SingleGrantFailover>, /*endpoints_fence=*/true) > 0);
}

TEST_CASE(
    "the fault tests detect a deliberately wrong promotion of the endpoint with the lowest log "
    "position",
    "[matrix]") {
  CHECK(CountUnsafe(MakeFaultyFailover<LowestPositionFailover>, /*endpoints_fence=*/true) > 0);
}

}  // namespace
}  // namespace poplarmoor
