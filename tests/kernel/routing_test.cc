#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "kernel/routing_policy.h"
#include "tests/kernel/fixtures.h"

namespace poplarmoor {
namespace {

using Names = std::vector<std::string>;

Names Route(const std::string& policy,
            const RouteRequest& request,
            const GroupView& group,
            int64_t millis,
            uint64_t random = 1) {
  return Registry<RoutingPolicy>::Create(policy)->Candidates(request, group, At(millis), random);
}

TEST_CASE(
    "no routing policy returns an endpoint that is to leave its group, and writes go only to the "
    "primary") {
  CHECK(rc::check("candidates", [](uint64_t random, uint8_t leaving, bool electing, bool write) {
    GroupState state = MakeGroup(1, electing ? "" : "a");
    for (size_t i = 0; i < 3; ++i) {
      state.endpoints[i].leaving = (leaving >> i & 1) != 0;
    }
    const GroupView group(state);
    RouteRequest request;
    request.operation = write ? Operation::kWrite : Operation::kRead;
    for (const std::string& policy : Registry<RoutingPolicy>::Names()) {
      for (const std::string& name : Route(policy, request, group, 0, random)) {
        RC_ASSERT(!group.Find(name)->info.leaving);
        RC_ASSERT(!write || (name == "a" && !electing));
      }
    }
  }));
}

TEST_CASE(
    "the fresh_replicas policy routes a read to the primary when no replica has the session's last "
    "write") {
  GroupView group(MakeGroup(1, "a"));
  group.OnStatus(MakeStatus("a", 1, 50), At(0));
  group.OnStatus(MakeStatus("b", 1, 10), At(0));
  group.OnStatus(MakeStatus("c", 1, 20), At(0));
  RouteRequest request;
  request.required = {1, 15};
  CHECK(Route("fresh_replicas", request, group, 0) == Names{"c", "a"});
  request.required = {1, 40};
  CHECK(Route("fresh_replicas", request, group, 0) == Names{"a"});
  // 3 ms later the replicas are assumed to have replayed all that the primary had at time 0.
  CHECK(Route("fresh_replicas", request, group, 3).size() == 3);
  request.primary_required = true;
  CHECK(Route("fresh_replicas", request, group, 3) == Names{"a"});
}

TEST_CASE(
    "the fresh_replicas policy sends no read to a replica that lags beyond the staleness bound; "
    "among the other replicas, it prefers the less loaded one") {
  GroupView group(MakeGroup(1, "a"));
  EndpointStatus stale = MakeStatus("b", 1, 10);
  stale.staleness = 500ms;
  group.OnStatus(stale, At(0));
  group.OnStatus(MakeStatus("c", 1, 10), At(0));
  RouteRequest request;
  request.max_staleness = 100ms;
  CHECK(Route("fresh_replicas", request, group, 0) == Names{"c", "a"});
  request.max_staleness.reset();
  group.OnSent("c");
  for (uint64_t random = 0; random < 20; ++random) {
    CHECK(Route("fresh_replicas", request, group, 0, random).front() == "b");
  }
  group.OnDone("b", true, At(0));  // After a failure, b is avoided until it answers.
  CHECK(Route("fresh_replicas", request, group, 1) == Names{"c", "a"});
}

TEST_CASE(
    "a few reads go to a replica whose last known log position is outdated and too low for them, "
    "so that the replica does not stay excluded after it has caught up") {
  GroupView group(MakeGroup(1, "a"));
  group.OnStatus(MakeStatus("b", 1, 10), At(0));
  group.OnStatus(MakeStatus("c", 1, 10), At(0));
  RouteRequest request;
  request.required = {1, 15};
  int probes = 0;
  for (uint64_t random = 0; random < 1000; ++random) {
    probes += Route("fresh_replicas", request, group, 5000, random).front() == "a" ? 0 : 1;
  }
  CHECK(probes > 100);
  CHECK(probes < 400);
}

TEST_CASE("the round_robin policy spreads reads over all endpoints of a group") {
  const GroupView group(MakeGroup(1, "a"));
  const auto policy = Registry<RoutingPolicy>::Create("round_robin");
  std::map<std::string, int> first;
  for (int i = 0; i < 30; ++i) {
    ++first[policy->Candidates(RouteRequest(), group, At(0), 0).front()];
  }
  CHECK(first == std::map<std::string, int>{{"a", 10}, {"b", 10}, {"c", 10}});
}

TEST_CASE("in a group view, an older group state or endpoint status never replaces a newer one") {
  GroupView group(MakeGroup(3, "b"));
  CHECK_FALSE(group.SetState(MakeGroup(2, "a")));
  CHECK(group.UsablePrimary()->info.name == "b");
  CHECK(group.OnStatus(MakeStatus("b", 4, 10), At(1)));
  CHECK_FALSE(group.OnStatus(MakeStatus("b", 3, 99), At(2)));
  CHECK(group.Find("b")->status->term == 4);
}

TEST_CASE(
    "a log position of an earlier term counts as lost if it lies beyond the start of a later "
    "term") {
  GroupState state = MakeGroup(2, "a");
  state.term_starts = {{1, 0}, {2, 20}};
  const GroupView group(state);
  CHECK(group.IsLost({1, 21}));
  CHECK_FALSE(group.IsLost({1, 20}));
  CHECK_FALSE(group.IsLost({2, 21}));
}

}  // namespace
}  // namespace poplarmoor
