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

// Pattern: the cut heals; any answer shows it.
TEST_CASE("one answer brings a cut failure domain back, or its work stays away after the heal") {
  const auto fleet = MakeFleet();
  PeerHealth health("fd0");
  health.SetPeers(fleet);
  RandomEngine random(1);
  for (const int number : {1, 4, 7}) {
    health.NoteFailure(fleet[number], kStart);
  }
  CHECK(health.IsLost(fleet[10]));
  // Nothing is sent to a cut domain but probes, which also ask daemons that were not lost.
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
  // The lost ones are probed at once.
  CHECK(health.TakeDueProbes(kStart + 9s, &random).size() == 3);
  // Later silence without a failure does not cut it off again.
  CHECK_FALSE(health.IsLost(fleet[13]));
}

// Pattern: VMs of a cut failure domain are replaced meanwhile, so that the lost ones leave the
// fleet.
TEST_CASE(
    "a cut ends with an answer also when its lost daemons are gone, or the domain stays out") {
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

// Pattern: the fleet splits in two; about half of each failure domain is lost.
TEST_CASE("a split condemns no failure domain that still answers, or each side refuses all work") {
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

// Pattern: one VM loses power while its failure domain works.
TEST_CASE("a single lost daemon does not condemn its failure domain") {
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

TEST_CASE("lost daemons are probed at a bounded rate, or a cut floods the network") {
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
  // The daemons of the own domain each every 400 ms, three of each other domain.
  CHECK(probes <= (10 + 3 + 3) * 10);
  CHECK(probes >= 10 * 3);
  health.SetPeers({fleet[0]});
  CHECK(health.IsLost(fleet[0]));
  CHECK_FALSE(health.IsLost(fleet[3]));
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
  CHECK_FALSE(health.IsLost(fleet[1]));
}

}  // namespace
}  // namespace poplarmoor
