#include "kernel/read_placement.h"

#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

ReadCandidate Make(const std::string& id, bool near, bool primary) {
  ReadCandidate candidate;
  candidate.id = id;
  candidate.same_failure_domain = near;
  candidate.is_primary = primary;
  candidate.limit = 2;
  candidate.service_time = 20ms;
  return candidate;
}

TEST_CASE("a read goes to the replica of its own failure domain, or traffic between them is paid") {
  CHECK(OrderForRead({Make("far", false, false), Make("near", true, false)}).front() == "near");
}

TEST_CASE("reads leave the primary free while a replica is idle, or writes queue behind them") {
  const auto order = OrderForRead({Make("primary", true, true), Make("replica", false, false)});
  CHECK(order == std::vector<std::string>{"replica", "primary"});
}

TEST_CASE(
    "reads spill over when the near replica has a queue, or one endpoint takes a whole burst") {
  // Load: 2.6 times the usual lookups of one failure domain.
  ReadCandidate near = Make("near", true, false);
  near.busy = 6;
  CHECK(OrderForRead({near, Make("far", false, false)}).front() == "far");
}

TEST_CASE("an endpoint that is down or lags is left out, or each read pays for a refusal") {
  ReadCandidate down = Make("down", true, false);
  down.usable = false;
  CHECK(OrderForRead({down}).empty());
}

}  // namespace
}  // namespace poplarmoor
