#include "kernel/peer_health.h"

#include <catch2/catch.hpp>
#include <set>

namespace poplarmoor {
namespace {

Peer MakePeer(int number, const std::string& domain) {
  return {"d" + std::to_string(number), "10.0.0.1:" + std::to_string(1000 + number), domain};
}

std::vector<Peer> MakeFleet() {
  std::vector<Peer> peers;
  for (int number = 0; number < 30; ++number) {
    peers.push_back(MakePeer(number, "fd" + std::to_string(number % 3)));
  }
  return peers;
}

const TimePoint kStart = TimePoint(100s);

// A failure domain is partitioned while statements for its endpoints keep arriving.
TEST_CASE(
    "statements skip all gateways of a partitioned failure domain instead of waiting for each of "
    "them") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  health.NoteAnswer(fleet[4], kStart - 500ms);
  health.NoteFailure(fleet[1], kStart);
  CHECK(health.IsLost(fleet[1]));
  CHECK_FALSE(health.IsLost(fleet[4]));
  health.NoteFailure(fleet[7], kStart);
  CHECK_FALSE(health.IsLost(fleet[4]));
  health.NoteFailure(fleet[10], kStart);
  CHECK(health.IsLost(fleet[4]));
  CHECK(health.IsLost(fleet[28]));
  CHECK_FALSE(health.IsLost(fleet[0]));
}

// An answer of any daemon of a partitioned failure domain shows that the partition has ended.
TEST_CASE(
    "one answer from a partitioned failure domain is enough for its daemons to get statements "
    "again") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  health.SetPeers(fleet);
  RandomEngine random(1);
  for (const int number : {1, 4, 7}) {
    health.NoteFailure(fleet[number], kStart);
  }
  CHECK(health.IsLost(fleet[10]));
  // At most three daemons of the partitioned domain are probed at a time. Over time, these include
  // daemons to which no call has failed.
  std::set<std::string> probed;
  for (Duration elapsed = 0ms; elapsed < 8s; elapsed += 400ms) {
    const auto due = health.TakeDueProbes(kStart + elapsed, &random);
    CHECK(due.size() <= 3);
    for (const Peer& peer : due) {
      probed.insert(peer.daemon);
    }
  }
  CHECK(probed.size() > 3);
  health.NoteAnswer(fleet[10], kStart + 9s);
  CHECK_FALSE(health.IsLost(fleet[10]));
  CHECK_FALSE(health.IsLost(fleet[13]));
  // After the answer, the three unreachable daemons are probed immediately.
  CHECK(health.TakeDueProbes(kStart + 9s, &random).size() == 3);
  // Until a call to the domain fails again, unanswered probes do not mark it as partitioned.
  CHECK_FALSE(health.IsLost(fleet[13]));
}

// VMs of a partitioned failure domain are replaced during the partition, so that the unreachable
// daemons on them leave the fleet.
TEST_CASE(
    "a partitioned failure domain gets statements again once one of its daemons answers, even if "
    "its unreachable daemons have been replaced") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  health.SetPeers(fleet);
  for (const int number : {1, 4, 7}) {
    health.NoteFailure(fleet[number], kStart);
  }
  CHECK(health.IsLost(fleet[10]));
  health.SetPeers({fleet[0], fleet[10], fleet[13]});
  health.NoteAnswer(fleet[10], kStart + 1s);
  CHECK_FALSE(health.IsLost(fleet[13]));
}

// A network split separates this daemon from every second daemon of the fleet, so that this daemon
// reaches only about half of each failure domain.
TEST_CASE(
    "while some daemons of a failure domain answer, only its unreachable daemons count as lost, so "
    "that neither side of a network split refuses all statements") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  health.NoteAnswer(fleet[1], kStart);
  health.NoteAnswer(fleet[5], kStart);
  for (size_t number = 0; number < fleet.size(); number += 2) {
    health.NoteFailure(fleet[number], kStart + 100ms);
  }
  for (size_t number = 0; number < fleet.size(); ++number) {
    INFO("daemon " << number);
    CHECK(health.IsLost(fleet[number]) == (number % 2 == 0));
  }
}

// A VM that runs two daemons loses power while the rest of its failure domain works.
TEST_CASE("two unreachable daemons are too few to treat their failure domain as partitioned") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  health.NoteFailure(fleet[1], kStart);
  health.NoteFailure(fleet[4], kStart);
  CHECK(health.IsLost(fleet[1]));
  CHECK(health.IsLost(fleet[4]));
  CHECK_FALSE(health.IsLost(fleet[7]));
  health.NoteAnswer(fleet[1], kStart);
  CHECK_FALSE(health.IsLost(fleet[1]));
  CHECK(health.IsLost(fleet[4]));
}

TEST_CASE(
    "unreachable daemons are probed at a bounded rate, so that probes do not flood the network in "
    "a partition") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  health.SetPeers(fleet);
  for (const Peer& peer : fleet) {
    health.NoteFailure(peer, kStart);
  }
  RandomEngine random(1);
  CHECK(health.TakeDueProbes(kStart, &random).empty());
  size_t probes = 0;
  for (Duration elapsed = 0ms; elapsed < 4s; elapsed += 40ms) {
    probes += health.TakeDueProbes(kStart + elapsed, &random).size();
  }
  // At most the 10 daemons of fd0 and 3 of each other domain are probed per 400 ms.
  CHECK(probes <= (10 + 3 + 3) * 10);
  CHECK(probes >= 10 * 3);
  health.SetPeers({fleet[0]});
  CHECK(health.IsLost(fleet[0]));
  CHECK_FALSE(health.IsLost(fleet[3]));
}

// A primary is cut off from some daemons, including gateways.
TEST_CASE(
    "a gateway that cannot reach an endpoint is skipped only for that endpoint and only for a "
    "short time") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  health.NoteUnreachable("e", fleet[1], kStart);
  CHECK(health.IsUnreachable("e", fleet[1], kStart + 100ms));
  CHECK_FALSE(health.IsUnreachable("other", fleet[1], kStart + 100ms));
  CHECK_FALSE(health.IsUnreachable("e", fleet[4], kStart + 100ms));
  CHECK_FALSE(health.IsUnreachable("e", fleet[1], kStart + 1s));
  CHECK_FALSE(health.IsLost(fleet[1]));
}

}  // namespace
}  // namespace poplarmoor
