#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "tests/kernel/copy_spread_simulation.h"

namespace poplarmoor {
namespace {

// Results of the model over many seeds.
struct SpreadResults {
  uint64_t violated = 0;
  uint64_t samples = 0;
  uint64_t calm_refusals = 0;  // Seeds in which a daemon that nothing disturbed refused anything.
  uint64_t outage_samples = 0;
  uint64_t outage_refusals = 0;
  std::string first;
};

const SpreadResults& RunSeeds() {
  static const SpreadResults results = [] {
    constexpr uint64_t kSeeds = 400;
    SpreadResults sum;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CopySpreadSimulation simulation(seed);
      const std::string violation = simulation.Run();
      if (!violation.empty() && sum.violated++ == 0) {
        sum.first = "seed " + std::to_string(seed) + ": " + violation;
      }
      sum.samples += simulation.samples();
      sum.calm_refusals += simulation.refused_share() > 0.0 ? 1 : 0;
      sum.outage_samples += simulation.outage_samples();
      sum.outage_refusals += simulation.refused_in_outage();
    }
    return sum;
  }();
  return results;
}

// Guards against a daemon that refuses databases as unknown, or runs statements on removed routes,
// by a copy of the configuration that is older than the bound, or that passes such a copy on as a
// young one (issue 40).
TEST_CASE(
    "copies of the configuration claim no later time than they hold, and none is used after its "
    "bound") {
  const SpreadResults& results = RunSeeds();
  INFO(results.first);
  CHECK(results.violated == 0);
  CHECK(results.samples > 1'000'000);
}

// Guards against a bound that is kept by refusing callers whom nothing would prevent from being
// served.
TEST_CASE(
    "a daemon that nothing disturbs uses its whole copy, and one that has lost only the store "
    "serves the routes that it knows") {
  const SpreadResults& results = RunSeeds();
  CHECK(results.calm_refusals == 0);
  CHECK(results.outage_samples > 1000);
  CHECK(results.outage_refusals == 0);
}

}  // namespace
}  // namespace poplarmoor
