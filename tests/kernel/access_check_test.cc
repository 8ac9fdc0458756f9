#include "kernel/organisation/access_check.h"

#include <catch2/catch.hpp>

#include "kernel/random.h"

namespace poplarmoor {
namespace {

constexpr Duration kBound = 5s;
constexpr Duration kLimit = 4875ms;  // The bound less 2.5%.
const KeyId kKey = KeyIdOf("k-north");
const AccessClaim kClaim{kKey, "north"};

OrganisationTable TableWith(const std::string& name, const std::string& key) {
  OrganisationTable table;
  table.Add({name, 10, 10}, {key});
  return table;
}

// Guards against statements that run with a withdrawn key in a daemon that is cut off, and against
// refusals of valid keys before the bound.
TEST_CASE("a key is allowed while its copy is younger than the bound less its margin") {
  const AccessCheck check(kBound);
  const OrganisationTable table = TableWith("north", "k-north");
  const TimePoint verified = TimePoint() + 100s;
  const AccessCopy own{3, &table, verified};
  CHECK(check.Decide(kClaim, own, verified + kLimit - 1us) == AccessVerdict::kAllowed);
  CHECK(check.Decide(kClaim, own, verified + kLimit) == AccessVerdict::kCopyTooOld);
  // After a start, the copy was never verified, however short ago the VM was booted.
  CHECK(check.Decide(kClaim, {3, &table, {}}, TimePoint() + 1s) == AccessVerdict::kCopyTooOld);
  const AccessCheck no_bound(std::nullopt);
  CHECK(no_bound.Decide(kClaim, {3, &table, {}}, verified) == AccessVerdict::kAllowed);
  for (const AccessClaim& claim : {AccessClaim{KeyIdOf("never"), "north"}, AccessClaim{kKey, ""},
                                   AccessClaim{kKey, "south"}, AccessClaim{KeyIdOf(""), ""}}) {
    CHECK(check.Decide(claim, own, verified) == AccessVerdict::kUnknownKey);
    CHECK(check.Decide(claim, {3, nullptr, {}}, verified) == AccessVerdict::kAllowed);
  }
  // A database without keys is served also by an old copy.
  CHECK(check.Decide({0, "north"}, own, verified + 1h) == AccessVerdict::kAllowed);
}

// Guards against a gateway that refuses a key which its older configuration lacks, and one that
// runs a key which its newer configuration has withdrawn.
TEST_CASE("of two copies, the newer configuration and the later verification decide") {
  const AccessCheck check(kBound);
  const OrganisationTable table = TableWith("north", "k-north");
  const OrganisationTable other = TableWith("south", "k-south");
  const TimePoint now = TimePoint() + 100s;
  const TimePoint young = now - 1s;
  const TimePoint old = now - 10s;
  const auto decide = [&](uint64_t sender, TimePoint sent, const AccessCopy& own) {
    return check.DecideRelayed(kClaim, {sender, nullptr, sent}, own, now);
  };
  CHECK(decide(4, young, {3, &other, young}) == AccessVerdict::kAllowed);
  CHECK(decide(3, young, {4, &other, young}) == AccessVerdict::kUnknownKey);
  CHECK(decide(4, young, {4, &other, young}) == AccessVerdict::kUnknownKey);
  CHECK(decide(3, old, {4, &table, young}) == AccessVerdict::kAllowed);
  CHECK(decide(4, old, {3, &other, young}) == AccessVerdict::kAllowed);
  CHECK(decide(3, young, {3, &table, old}) == AccessVerdict::kAllowed);
  CHECK(decide(4, old, {3, &other, old}) == AccessVerdict::kCopyTooOld);
  CHECK(decide(3, old, {3, &table, {}}) == AccessVerdict::kCopyTooOld);
}

// Guards against any order of copies at the two daemons in which a key still runs later than the
// bound after its withdrawal, or in which a valid key is refused although a copy is young.
TEST_CASE("whatever copies two daemons have, no key runs after the bound") {
  RandomEngine random(7);
  const AccessCheck check(kBound);
  const OrganisationTable with_key = TableWith("north", "k-north");
  const OrganisationTable without = TableWith("south", "k-south");
  for (int round = 0; round < 20000; ++round) {
    const TimePoint withdrawn = TimePoint() + 100s;  // The time of version 2, which lacks the key.
    const auto verified_at = [&] {
      return withdrawn - 10s + Duration(static_cast<int64_t>(RandomBelow(&random, 20000000)));
    };
    const auto copy_of = [&](TimePoint verified) {
      const bool newer = verified >= withdrawn;
      return AccessCopy{newer ? 2U : 1U, newer ? &without : &with_key, verified};
    };
    const AccessCopy sender = copy_of(verified_at());
    const AccessCopy own = copy_of(verified_at());
    const TimePoint now = std::max(*sender.verified, *own.verified) +
                          Duration(static_cast<int64_t>(RandomBelow(&random, 8000000)));
    if (check.Decide(kClaim, sender, now) != AccessVerdict::kAllowed) {
      continue;
    }
    const AccessVerdict verdict = check.DecideRelayed(kClaim, sender, own, now);
    if (verdict == AccessVerdict::kAllowed) {
      REQUIRE(now - withdrawn < kLimit);
    } else {
      REQUIRE(own.version == 2);
    }
  }
}

}  // namespace
}  // namespace poplarmoor
