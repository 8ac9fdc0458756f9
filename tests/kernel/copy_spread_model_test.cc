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

SpreadResults RunSeeds(uint64_t first, uint64_t last) {
  SpreadResults sum;
  for (uint64_t seed = first; seed <= last; ++seed) {
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
}

const SpreadResults& RunSeedsOnce() {
  static const SpreadResults results = RunSeeds(1, 400);
  return results;
}

// Guards against a daemon that refuses databases as unknown, or runs statements on removed routes,
// by a copy of the configuration that is older than the bound, or that passes such a copy on as a
// young one (issue 40).
TEST_CASE(
    "copies of the configuration claim no later time than they hold, and none is used after its "
    "bound") {
  const SpreadResults& results = RunSeedsOnce();
  INFO(results.first);
  CHECK(results.violated == 0);
  CHECK(results.samples > 1'000'000);
}

// Guards against a bound that is kept by refusing callers whom nothing would prevent from being
// served.
TEST_CASE(
    "a daemon that nothing disturbs uses its whole copy, and one that has lost only the store "
    "serves the routes that it knows") {
  const SpreadResults& results = RunSeedsOnce();
  CHECK(results.calm_refusals == 0);
  CHECK(results.outage_samples > 1000);
  CHECK(results.outage_refusals == 0);
}

// The same checks over many more seeds; started by hand.
TEST_CASE("copies of the configuration over many seeds", "[.soak]") {
  const SpreadResults results = RunSeeds(401, 4500);
  INFO(results.first);
  CHECK(results.violated == 0);
  CHECK(results.calm_refusals == 0);
  CHECK(results.outage_refusals == 0);
}

}  // namespace
}  // namespace poplarmoor
