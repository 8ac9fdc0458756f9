#include "kernel/admission/startup_limit.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

namespace poplarmoor {
namespace {

/// Connections of a fleet whose daemons all restart at the same moment.
struct RestartedFleet {
  std::vector<uint32_t> connections;  // By daemon.
  int refused = 0;                    // Connections that the endpoint has refused.

  uint32_t Total() const {
    return std::accumulate(this->connections.begin(), this->connections.end(), 0U);
  }
};

/// Simulates one endpoint whose connections are taken in part by the daemons' previous processes.
/// Each daemon has more work than connections and tries to open one more every 10 ms, within its
/// limit. After a refusal it keeps the number that it has.
/// @param daemons Number of daemons.
/// @param endpoint_limit Largest number of connections that the endpoint accepts.
/// @param share Each daemon's share of them.
/// @param left_over Connections of the previous processes.
/// @param elapsed Time since the restart of the first daemon.
/// @param spread Time between the restarts of the first and of the last daemon.
RestartedFleet Restart(uint32_t daemons,
                       uint32_t endpoint_limit,
                       uint32_t share,
                       uint32_t left_over,
                       Duration elapsed,
                       Duration spread = 0ms) {
  RestartedFleet fleet;
  fleet.connections.resize(daemons);
  std::vector<bool> at_limit(daemons);
  for (Duration now{}; now <= elapsed; now += 10ms) {
    for (uint32_t daemon = 0; daemon < daemons; ++daemon) {
      const Duration age = now - spread * daemon / daemons;
      const uint32_t limit = StartupConnectionLimit(share, std::max(share / 2, 1U), age);
      if (age < Duration{} || at_limit[daemon] || fleet.connections[daemon] >= limit) {
        continue;
      }
      if (fleet.Total() + left_over < endpoint_limit) {
        ++fleet.connections[daemon];
      } else {
        ++fleet.refused;
        at_limit[daemon] = true;
      }
    }
  }
  return fleet;
}

// Guards against statements that queue behind each other for seconds after a common power loss
// although the endpoint has free connections: with a single connection, an open transaction blocks
// all other statements of its daemon.
TEST_CASE("daemons that restart together use two connections each at once if their share allows") {
  const RestartedFleet fleet = Restart(8, 32, 4, 16, 10ms);
  CHECK(std::all_of(fleet.connections.begin(), fleet.connections.end(),
                    [](uint32_t count) { return count == 2; }));
  CHECK(fleet.refused == 0);
}

// Guards against daemons that take all free connections before the others have any.
TEST_CASE("daemons that restart together divide the endpoint's free connections evenly") {
  for (const uint32_t left_over : {0U, 8U, 16U, 20U, 24U}) {
    for (const Duration elapsed : {500ms, 1000ms, 3000ms}) {
      const RestartedFleet fleet = Restart(8, 32, 4, left_over, elapsed);
      const auto [fewest, most] =
          std::minmax_element(fleet.connections.begin(), fleet.connections.end());
      INFO(left_over << " connections left over: " << *fewest << " to " << *most);
      CHECK(*fewest >= 1);
      CHECK(*most - *fewest <= 1);
      CHECK(fleet.refused <= 8);
    }
  }
}

// Guards against a daemon without any connection because it started a little later than the others.
TEST_CASE("a daemon that restarts some hundred milliseconds later than the others gets its part") {
  const RestartedFleet fleet = Restart(8, 32, 4, 16, 3s, 600ms);
  CHECK(std::all_of(fleet.connections.begin(), fleet.connections.end(),
                    [](uint32_t count) { return count == 2; }));
}

// Guards against a start that leaves connections unused which the endpoint would accept.
TEST_CASE("some seconds after a common restart, the endpoint's free connections are in use") {
  CHECK(Restart(8, 32, 4, 0, 3s).Total() == 32);
  CHECK(Restart(8, 32, 4, 12, 3s).Total() == 20);
}

TEST_CASE("the startup limit is at least one connection and never exceeds the usual limit") {
  CHECK(StartupConnectionLimit(1, 1, 0ms) == 1);
  CHECK(StartupConnectionLimit(0, 0, 0ms) == 1);
  CHECK(StartupConnectionLimit(4, 2, 3400ms) == 6);
  CHECK(StartupConnectionLimit(4, 2, kStartupLimitTime) == 6);
  CHECK(StartupConnectionLimit(20, 10, kStartupLimitTime) == 30);
}

}  // namespace
}  // namespace poplarmoor
