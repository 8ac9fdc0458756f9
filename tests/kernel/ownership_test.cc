#include "kernel/ownership.h"

#include <catch2/catch.hpp>

#include "kernel/random.h"

namespace poplarmoor {
namespace {

Member MakeMember(size_t index, size_t domains) {
  Member member;
  member.daemon = "d" + std::to_string(index);
  member.address = "10.0.0." + std::to_string(index) + ":7000";
  member.failure_domain = "fd-" + std::to_string(index % domains);
  return member;
}

Ownership MakeOwnership(size_t members, size_t domains) {
  Ownership ownership;
  for (size_t i = 0; i < members; ++i) {
    ownership.Update(MakeMember(i, domains));
  }
  return ownership;
}

TEST_CASE(
    "when a daemon is lost, only its endpoints get a new owner, so that other owners keep their "
    "connection pools") {
  Ownership ownership = MakeOwnership(12, 3);
  std::map<std::string, std::string> before;
  std::map<std::string, int> load;
  for (int i = 0; i < 400; ++i) {
    const std::string endpoint = "e" + std::to_string(i);
    const std::vector<Member> owners = ownership.OwnersOf(endpoint, "fd-1");
    REQUIRE(owners.size() == 4);
    CHECK(owners[0].failure_domain == "fd-1");
    before[endpoint] = owners[0].daemon;
    ++load[owners[0].daemon];
  }
  for (const auto& [daemon, count] : load) {
    INFO(daemon);
    CHECK(count > 60);
  }
  Member lost = MakeMember(4, 3);
  lost.state = MemberState::kDead;
  CHECK(ownership.Update(lost));
  for (const auto& [endpoint, owner] : before) {
    const std::string now = ownership.OwnersOf(endpoint, "fd-1")[0].daemon;
    CHECK((owner == "d4" ? now != "d4" : now == owner));
  }
}

TEST_CASE(
    "a daemon that is about to stop owns no endpoints, and a daemon that is suspected to be dead "
    "keeps its endpoints") {
  Ownership ownership = MakeOwnership(6, 3);
  const Member owner = ownership.OwnersOf("e1", "fd-0")[0];
  Member changed = owner;
  changed.state = MemberState::kSuspect;
  CHECK_FALSE(ownership.Update(changed));
  CHECK(ownership.OwnersOf("e1", "fd-0")[0].daemon == owner.daemon);
  changed.state = MemberState::kLeaving;
  CHECK(ownership.Update(changed));
  CHECK(ownership.OwnersOf("e1", "fd-0")[0].daemon != owner.daemon);
}

TEST_CASE("an endpoint in a failure domain without daemons has owners in other failure domains") {
  const Ownership ownership = MakeOwnership(6, 3);
  const std::vector<Member> owners = ownership.OwnersOf("e1", "fd-9");
  REQUIRE(owners.size() == 2);
  CHECK(ownership.OwnersOf("e1", "fd-9")[0].daemon == owners[0].daemon);
}

TEST_CASE(
    "the two monitoring daemons of a group are in different failure domains, so that the loss of "
    "one domain leaves one monitoring daemon") {
  Ownership ownership = MakeOwnership(12, 3);
  for (int i = 0; i < 100; ++i) {
    const std::vector<Member> monitors = ownership.MonitorsOf("s" + std::to_string(i));
    REQUIRE(monitors.size() == 2);
    CHECK(monitors[0].failure_domain != monitors[1].failure_domain);
  }
  CHECK(MakeOwnership(3, 1).MonitorsOf("s").size() == 2);
  CHECK(MakeOwnership(1, 1).MonitorsOf("s").size() == 1);
}

TEST_CASE(
    "incremental updates assign the same monitoring daemons to each group as a full "
    "recomputation") {
  RandomEngine random(7);
  Ownership incremental;
  std::map<std::string, Member> live;
  for (int i = 0; i < 50; ++i) {
    incremental.AddGroup("s" + std::to_string(i));
  }
  for (int step = 0; step < 300; ++step) {
    Member member = MakeMember(RandomBelow(&random, 20), 4);
    if (live.erase(member.daemon) > 0) {
      member.state = MemberState::kDead;
    } else {
      live[member.daemon] = member;
    }
    incremental.Update(member);
    Ownership recomputed;
    for (const auto& entry : live) {
      recomputed.Update(entry.second);
    }
    for (int i = 0; i < 50; ++i) {
      const std::string service = "s" + std::to_string(i);
      REQUIRE(incremental.MonitorsOf(service) == recomputed.MonitorsOf(service));
    }
  }
}

}  // namespace
}  // namespace poplarmoor
