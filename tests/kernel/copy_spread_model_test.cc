#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "tests/kernel/copy_spread_simulation.h"

namespace poplarmoor {
namespace {

constexpr uint64_t kSeeds = 400;

// Guards against a daemon that refuses databases as unknown, or runs statements on removed routes,
// by a copy of the configuration that is older than the bound, or that passes such a copy on as a
// young one (issue 40).
TEST_CASE(
    "copies of the configuration claim no later time than they hold, and none is used after "
    "its bound") {
  uint64_t violated = 0;
  uint64_t samples = 0;
  std::string first;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CopySpreadSimulation simulation(seed);
    const std::string violation = simulation.Run();
    samples += simulation.samples();
    if (!violation.empty() && violated++ == 0) {
      first = "seed " + std::to_string(seed) + ": " + violation;
    }
  }
  INFO(violated << " of " << kSeeds << " seeds; " << first);
  CHECK(violated == 0);
  CHECK(samples > 100 * kSeeds);
}

// Guards against a bound that is kept by refusing calm callers.
TEST_CASE("a daemon that nothing disturbs keeps the use of its whole copy") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CopySpreadSimulation simulation(seed);
    simulation.Run();
    INFO("seed " << seed);
    CHECK(simulation.refused_share() == 0.0);
  }
}

}  // namespace
}  // namespace poplarmoor
