#include "kernel/placement/read_placement.h"

#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

ReadCandidate MakeCandidate(const std::string& id, bool near, bool primary) {
  ReadCandidate candidate;
  candidate.id = id;
  candidate.distance = near ? Distance::kSameDomain : Distance::kSameRegion;
  candidate.is_primary = primary;
  candidate.limit = 2;
  candidate.service_time = 20ms;
  return candidate;
}

TEST_CASE(
    "a read prefers the replica of its own failure domain, to save paid traffic between domains") {
  CHECK(OrderForRead({MakeCandidate("far", false, false), MakeCandidate("near", true, false)})
            .front() == "near");
}

TEST_CASE("reads prefer an idle replica to the primary, so that writes do not queue behind reads") {
  const auto order =
      OrderForRead({MakeCandidate("primary", true, true), MakeCandidate("replica", false, false)});
  CHECK(order == std::vector<std::string>{"replica", "primary"});
}

TEST_CASE("reads go to another failure domain when the replica in their own domain is busy") {
  // Otherwise the near replica would get all reads of a burst. The load is 2.6 times the usual
  // lookups of one failure domain.
  ReadCandidate near = MakeCandidate("near", true, false);
  near.busy = 6;
  CHECK(OrderForRead({near, MakeCandidate("far", false, false)}).front() == "far");
}

TEST_CASE("reads skip an endpoint that is down or lags, instead of being refused there first") {
  ReadCandidate down = MakeCandidate("down", true, false);
  down.usable = false;
  CHECK(OrderForRead({down}).empty());
}

// Guards against reads that cross the thin link between regions as readily as a short distance.
TEST_CASE(
    "reads of a burst overflow to the own region first, then to the other region, and return") {
  ReadCandidate near = MakeCandidate("near", true, false);
  ReadCandidate region = MakeCandidate("region", false, false);
  ReadCandidate other = MakeCandidate("other", false, false);
  other.distance = Distance::kOtherRegion;
  CHECK(OrderForRead({other, region, near}) == std::vector<std::string>{"near", "region", "other"});
  near.busy = region.busy = 4;
  CHECK(OrderForRead({other, region, near}).front() == "near");
  near.busy = region.busy = 12;
  CHECK(OrderForRead({other, region, near}).front() == "other");
}

TEST_CASE("failure domains of unknown region count as one region") {
  const RegionMap none;
  CHECK_FALSE(none.HasSeveralRegions());
  CHECK(none.DistanceBetween("a", "a") == Distance::kSameDomain);
  CHECK(none.DistanceBetween("a", "b") == Distance::kSameRegion);
  const RegionMap regions({{"a", "x"}, {"b", "y"}});
  CHECK(regions.HasSeveralRegions());
  CHECK(regions.DistanceBetween("a", "b") == Distance::kOtherRegion);
  CHECK(regions.DistanceBetween("a", "c") == Distance::kSameRegion);
}

}  // namespace
}  // namespace poplarmoor
