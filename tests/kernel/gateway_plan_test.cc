#include "kernel/gateway_plan.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace poplarmoor {
namespace {

std::vector<Peer> MakePeers(size_t count, size_t domains) {
  std::vector<Peer> peers;
  for (size_t number = 0; number < count; ++number) {
    peers.push_back({"d" + std::to_string(number), "10.0.0.1:" + std::to_string(1000 + number),
                     "fd" + std::to_string(number % domains)});
  }
  return peers;
}

bool Reached(const Peer&) {
  return true;
}

TEST_CASE("a small fleet connects directly, or each statement pays for a hop") {
  GatewayPlan plan("d3");
  plan.SetPeers(MakePeers(8, 3));
  CHECK(plan.IsGateway("e", "fd0", 21));
  CHECK(plan.GatewaysOf("e", "fd0", 21, Reached).empty());
  CHECK(plan.ShareOf(21) == 2);
}

TEST_CASE("the connections of all gateways fit an endpoint's limit at any fleet size") {
  for (const size_t count : {1, 2, 8, 14, 15, 29, 30, 88, 300, 3300}) {
    const auto peers = MakePeers(count, 3);
    std::map<uint32_t, size_t> used;  // By the endpoint's limit.
    for (const Peer& peer : peers) {
      GatewayPlan plan(peer.daemon);
      plan.SetPeers(peers);
      for (const uint32_t connections : {1U, 5U, 21U, 44U, 164U}) {
        used[connections] +=
            plan.IsGateway("e", "fd1", connections) ? plan.ShareOf(connections) : 0;
      }
    }
    for (const auto& [connections, sum] : used) {
      INFO(count << " daemons, " << connections << " connections: " << sum);
      // Two gateways are kept even where the limit has room for one connection only.
      CHECK(sum <= std::max(connections, 2U));
      CHECK(sum > 0);
    }
  }
}

TEST_CASE("gateways share the work of a large fleet, or one VM carries an endpoint alone") {
  const auto peers = MakePeers(90, 3);
  std::map<std::string, int> first_choice;
  std::set<std::string> members;
  for (const Peer& peer : peers) {
    GatewayPlan plan(peer.daemon);
    plan.SetPeers(peers);
    const auto gateways = plan.GatewaysOf("e", "fd1", 44, Reached);
    REQUIRE(gateways.size() == 11);
    CHECK(gateways.front().failure_domain == "fd1");
    ++first_choice[gateways.front().daemon];
    for (const Peer& gateway : gateways) {
      members.insert(gateway.daemon);
    }
  }
  CHECK(members.size() == 11);
  for (const auto& [daemon, count] : first_choice) {
    INFO(daemon);
    CHECK(count <= 3 * 90 / 11);
  }
}

TEST_CASE("an endpoint whose failure domain has no daemon has gateways elsewhere") {
  GatewayPlan plan("d1");
  plan.SetPeers(MakePeers(90, 3));
  CHECK(plan.GatewaysOf("e", "fd9", 44, Reached).size() >= 2);
}

// Pattern: the fleet splits in two, and all gateways of an endpoint may be on the other side.
TEST_CASE(
    "other daemons stand in for gateways out of reach, or a split refuses what it can serve") {
  const auto peers = MakePeers(90, 3);
  GatewayPlan plan("d0");
  plan.SetPeers(peers);
  const auto planned = plan.GatewaysOf("e", "fd1", 44, Reached);
  std::set<std::string> lost;
  for (const Peer& gateway : planned) {
    lost.insert(gateway.daemon);
  }
  const auto usable = [&lost](const Peer& peer) { return !lost.contains(peer.daemon); };
  const auto substitutes = plan.GatewaysOf("e", "fd1", 44, usable);
  REQUIRE(substitutes.size() == 2);
  for (const Peer& substitute : substitutes) {
    CHECK(substitute.failure_domain == "fd1");
    CHECK_FALSE(lost.contains(substitute.daemon));
  }
  lost.erase(planned.front().daemon);
  lost.erase(planned.back().daemon);
  CHECK(plan.GatewaysOf("e", "fd1", 44, usable).size() == 2);
}

TEST_CASE("a daemon that lost an endpoint asks the others, those near the endpoint first") {
  GatewayPlan plan("d0");
  plan.SetPeers(MakePeers(8, 3));
  const auto others = plan.Others("e", "fd1");
  REQUIRE(others.size() == 7);
  CHECK(others[0].failure_domain == "fd1");
  CHECK(others[2].failure_domain == "fd1");
  CHECK(others[3].failure_domain != "fd1");
}

TEST_CASE("few daemons of a large fleet watch the store, or its call rate is exceeded") {
  for (const auto& [count, expected] : {std::pair<size_t, size_t>{8, 8}, {90, 9}, {3300, 9}}) {
    const auto peers = MakePeers(count, 3);
    size_t watchers = 0;
    GatewayPlan plan("d0");
    plan.SetPeers(peers);
    if (count > 8) {
      for (const Peer& peer : plan.Watchers()) {
        CHECK(peer.failure_domain == "fd0");
      }
      watchers = plan.Watchers().size() * 3;
    } else {
      watchers = plan.IsWatcher() ? count : 0;
    }
    CHECK(watchers == expected);
  }
}

}  // namespace
}  // namespace poplarmoor
