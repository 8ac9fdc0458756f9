#include "kernel/placement/gateway_plan.h"

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

bool IsReachable(const Peer&) {
  return true;
}

TEST_CASE(
    "every daemon of a small fleet connects to the endpoints itself, so that no statement "
    "passes through another daemon") {
  GatewayPlan plan("d3");
  plan.SetPeers(MakePeers(8, 3));
  CHECK(plan.IsGateway("e", "fd0", 21));
  CHECK(plan.GatewaysOf("e", "fd0", 21, IsReachable).empty());
  CHECK(plan.ConnectionShare(21) == 2);
}

TEST_CASE(
    "all gateways of an endpoint together stay within the endpoint's connection limit, however "
    "large the fleet is") {
  for (const size_t count : {1, 2, 8, 14, 15, 29, 30, 88, 300, 3300}) {
    const auto peers = MakePeers(count, 3);
    // Number of connections of all daemons together, by the endpoint's connection limit.
    std::map<uint32_t, size_t> total_connections;
    for (const Peer& peer : peers) {
      GatewayPlan plan(peer.daemon);
      plan.SetPeers(peers);
      for (const uint32_t connections : {1U, 5U, 21U, 44U, 164U}) {
        total_connections[connections] +=
            plan.IsGateway("e", "fd1", connections) ? plan.ConnectionShare(connections) : 0;
      }
    }
    for (const auto& [connections, sum] : total_connections) {
      INFO(count << " daemons, " << connections << " connections: " << sum);
      // There are two gateways even if the limit allows only one connection.
      CHECK(sum <= std::max(connections, 2U));
      CHECK(sum > 0);
    }
  }
}

// Guards against overloading one gateway's VM with the statements of all daemons.
TEST_CASE(
    "in a large fleet, all daemons use the same 11 gateways of an endpoint, and none of these is "
    "the first choice of more than three times the average number of daemons") {
  const auto peers = MakePeers(90, 3);
  std::map<std::string, int> first_choice;
  std::set<std::string> members;
  for (const Peer& peer : peers) {
    GatewayPlan plan(peer.daemon);
    plan.SetPeers(peers);
    const auto gateways = plan.GatewaysOf("e", "fd1", 44, IsReachable);
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

TEST_CASE("an endpoint in a failure domain without daemons has gateways in other failure domains") {
  GatewayPlan plan("d1");
  plan.SetPeers(MakePeers(90, 3));
  CHECK(plan.GatewaysOf("e", "fd9", 44, IsReachable).size() >= 2);
}

// A network partition can separate a daemon from all gateways of an endpoint, while the daemon
// still reaches other daemons in the endpoint's failure domain, which could act as gateways.
TEST_CASE(
    "in a partition, other daemons replace unreachable gateways, so that statements are still "
    "served") {
  const auto peers = MakePeers(90, 3);
  GatewayPlan plan("d0");
  plan.SetPeers(peers);
  const auto planned = plan.GatewaysOf("e", "fd1", 44, IsReachable);
  std::set<std::string> unreachable;
  for (const Peer& gateway : planned) {
    unreachable.insert(gateway.daemon);
  }
  const auto usable = [&unreachable](const Peer& peer) {
    return !unreachable.contains(peer.daemon);
  };
  const auto substitutes = plan.GatewaysOf("e", "fd1", 44, usable);
  REQUIRE(substitutes.size() == 2);
  for (const Peer& substitute : substitutes) {
    CHECK(substitute.failure_domain == "fd1");
    CHECK_FALSE(unreachable.contains(substitute.daemon));
  }
  unreachable.erase(planned.front().daemon);
  unreachable.erase(planned.back().daemon);
  CHECK(plan.GatewaysOf("e", "fd1", 44, usable).size() == 2);
}

TEST_CASE(
    "a daemon without a connection to an endpoint first tries other daemons in the endpoint's "
    "failure domain") {
  GatewayPlan plan("d0");
  plan.SetPeers(MakePeers(8, 3));
  const auto others = plan.OtherDaemons("e", "fd1");
  REQUIRE(others.size() == 7);
  CHECK(others[0].failure_domain == "fd1");
  CHECK(others[2].failure_domain == "fd1");
  CHECK(others[3].failure_domain != "fd1");
}

TEST_CASE(
    "only a few daemons of a large fleet watch the object store, so that the store's limit on the "
    "call rate is not exceeded") {
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

// Guards against failure domains whose primaries' log positions nobody reads, or several daemons
// read at the same time.
TEST_CASE("each failure domain has one lead watcher on which all daemons agree") {
  const auto peers = MakePeers(195, 5);
  for (const bool first_is_lost : {false, true}) {
    std::set<std::string> leads;
    std::string lost;
    if (first_is_lost) {
      GatewayPlan plan("d0");
      plan.SetPeers(peers);
      lost = plan.LeadWatcher("fd1", IsReachable)->daemon;
    }
    const auto usable = [&lost](const Peer& peer) { return peer.daemon != lost; };
    for (const Peer& peer : peers) {
      GatewayPlan plan(peer.daemon);
      plan.SetPeers(peers);
      const auto lead = plan.LeadWatcher("fd1", usable);
      REQUIRE(lead);
      CHECK(lead->failure_domain == "fd1");
      if (peer.daemon != lost) {
        leads.insert(lead->daemon);
      }
    }
    CHECK(leads.size() == 1);
    CHECK_FALSE(leads.contains(lost));
  }
}

// Guards against a number of calls that grows with the number of daemons.
TEST_CASE("a watcher reads log positions from one daemon of each failure domain, at any size") {
  for (const size_t count : {30, 200, 1000, 3300}) {
    const auto peers = MakePeers(count, 13);
    GatewayPlan plan("d4");
    plan.SetPeers(peers);
    const std::vector<Peer> sources = plan.EvidenceSources(RegionMap(), IsReachable);
    std::set<std::string> domains;
    for (const Peer& source : sources) {
      CHECK(source.daemon != "d4");
      domains.insert(source.failure_domain);
    }
    CHECK(domains.size() == sources.size());
    CHECK(sources.size() >= 12);
  }
}

// Guards against store calls that grow with the watchers: three watchers of each of six failure
// domains made 21 calls a second, the largest price of a calm day.
TEST_CASE("with standby watchers, one daemon of each failure domain watches the object store") {
  const std::vector<Peer> peers = MakePeers(66, 6);
  std::map<std::string, int> watching;  // Daemons that watch the store, by failure domain.
  for (const Peer& peer : peers) {
    GatewayPlan plan(peer.daemon);
    plan.SetPeers(peers);
    plan.SetStandbyWatchers(true);
    const std::vector<Peer> followed = plan.WatchersToFollow();
    watching[peer.failure_domain] += followed.empty() ? 1 : 0;
    for (const Peer& watcher : followed) {
      CHECK(watcher.failure_domain == peer.failure_domain);
      CHECK(watcher.daemon != peer.daemon);
    }
    plan.SetStandbyWatchers(false);
    CHECK(plan.WatchersToFollow().empty() == plan.IsWatcher());
  }
  CHECK(watching.size() == 6);
  for (const auto& [domain, count] : watching) {
    CHECK(count == 1);
  }
}

// Guards against traffic between regions that grows with the number of watchers.
TEST_CASE("log positions of another region are read by one daemon of each region") {
  const std::vector<Peer> peers = MakePeers(66, 6);
  const RegionMap regions(
      {{"fd0", "a"}, {"fd1", "b"}, {"fd2", "a"}, {"fd3", "b"}, {"fd4", "a"}, {"fd5", "b"}});
  int between_regions = 0;
  for (const Peer& peer : peers) {
    GatewayPlan plan(peer.daemon);
    plan.SetPeers(peers);
    std::set<std::string> domains;
    for (const Peer& source : plan.EvidenceSources(regions, IsReachable)) {
      domains.insert(source.failure_domain);
      between_regions += regions.DistanceBetween(peer.failure_domain, source.failure_domain) ==
                                 Distance::kOtherRegion
                             ? 1
                             : 0;
    }
    CHECK(domains.size() >= 2);
  }
  CHECK(between_regions == 2);
}

// Guards against traffic that grows with services and watchers: the fleet of a deployment grows
// together with its services, 334 of them with 100 daemons.
TEST_CASE("log positions are spread if there are few services only") {
  CHECK(GatewayPlan::SpreadsPositions(3));
  CHECK(GatewayPlan::SpreadsPositions(20));
  CHECK_FALSE(GatewayPlan::SpreadsPositions(334));
}

}  // namespace
}  // namespace poplarmoor
