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

// Pattern: a failure domain is cut off while statements for its endpoints keep arriving.
TEST_CASE("a cut failure domain is skipped as a whole, or each of its gateways costs a wait") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  RandomEngine random(1);
  health.NoteAnswer(fleet[4], kStart - 500ms);
  health.NoteFailure(fleet[1], kStart);
  CHECK(health.IsLost(fleet[1], kStart));
  CHECK_FALSE(health.IsLost(fleet[4], kStart));
  const auto witnesses = health.WitnessesFor(fleet[1], fleet, &random);
  REQUIRE(witnesses.size() == 2);
  for (const Peer& witness : witnesses) {
    CHECK(witness.failure_domain == "fd1");
    CHECK(witness.daemon != "d1");
    health.NoteFailure(witness, kStart);
  }
  CHECK(health.IsLost(fleet[4], kStart));
  CHECK(health.IsLost(fleet[28], kStart));
  CHECK_FALSE(health.IsLost(fleet[0], kStart));
  CHECK(health.WitnessesFor(fleet[1], fleet, &random).empty());
}

// Pattern: the cut heals; any answer shows it.
TEST_CASE("one answer brings a cut failure domain back, or its work stays away after the heal") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  for (const int number : {1, 4, 7}) {
    health.NoteFailure(fleet[number], kStart);
  }
  CHECK(health.IsLost(fleet[10], kStart));
  health.NoteAnswer(fleet[4], kStart + 1s);
  CHECK_FALSE(health.IsLost(fleet[4], kStart + 1s));
  CHECK_FALSE(health.IsLost(fleet[10], kStart + 1s));
  // The other lost ones are probed at once.
  CHECK(health.TakeDueProbes(kStart + 1s).size() == 2);
}

// Pattern: the fleet splits in two; about half of each failure domain is lost.
TEST_CASE("a split condemns no failure domain that still answers, or each side refuses all work") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  for (size_t number = 0; number < fleet.size(); number += 2) {
    health.NoteFailure(fleet[number], kStart);
  }
  health.NoteAnswer(fleet[1], kStart);
  health.NoteAnswer(fleet[5], kStart);
  for (size_t number = 0; number < fleet.size(); ++number) {
    INFO("daemon " << number);
    CHECK(health.IsLost(fleet[number], kStart + 200ms) == (number % 2 == 0));
  }
  // This daemon's own domain is never cut off from it.
  CHECK_FALSE(health.IsLost(fleet[3], kStart + 10s));
}

// Pattern: one VM loses power while its failure domain works.
TEST_CASE("a single lost daemon does not condemn its failure domain") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  health.NoteFailure(fleet[1], kStart);
  health.NoteFailure(fleet[4], kStart);
  CHECK(health.IsLost(fleet[1], kStart));
  CHECK(health.IsLost(fleet[4], kStart));
  CHECK_FALSE(health.IsLost(fleet[7], kStart));
  health.NoteAnswer(fleet[1], kStart);
  CHECK_FALSE(health.IsLost(fleet[1], kStart));
  CHECK(health.IsLost(fleet[4], kStart));
}

TEST_CASE("lost daemons are probed at a bounded rate, or a cut floods the network") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  for (const Peer& peer : fleet) {
    health.NoteFailure(peer, kStart);
  }
  CHECK(health.TakeDueProbes(kStart).empty());
  size_t probes = 0;
  std::set<std::string> probed;
  for (Duration elapsed = 0ms; elapsed < 4s; elapsed += 40ms) {
    for (const Peer& peer : health.TakeDueProbes(kStart + elapsed)) {
      ++probes;
      probed.insert(peer.daemon);
    }
  }
  // Each peer every 400 ms at most.
  CHECK(probes <= fleet.size() * 10);
  CHECK(probed.size() == fleet.size());
  health.Retain({fleet[0]});
  CHECK(health.IsLost(fleet[0], kStart));
  CHECK_FALSE(health.IsLost(fleet[1], kStart));
}

// Pattern: a primary is cut off from part of the daemons, gateways among them.
TEST_CASE("a gateway that lost an endpoint is skipped for that endpoint alone, and for a while") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  health.NoteUnreached("e", fleet[1], kStart);
  CHECK(health.IsUnreached("e", fleet[1], kStart + 100ms));
  CHECK_FALSE(health.IsUnreached("other", fleet[1], kStart + 100ms));
  CHECK_FALSE(health.IsUnreached("e", fleet[4], kStart + 100ms));
  CHECK_FALSE(health.IsUnreached("e", fleet[1], kStart + 1s));
  CHECK_FALSE(health.IsLost(fleet[1], kStart));
}

}  // namespace
}  // namespace poplarmoor
