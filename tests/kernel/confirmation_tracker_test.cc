#include "kernel/confirmation_tracker.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/kernel/fixtures.h"

namespace poplarmoor {
namespace {

using Ids = std::vector<uint64_t>;
using AddResult = ConfirmationTracker::AddResult;

ConfirmationTracker MakeTracker() {
  ConfirmationTracker tracker;
  tracker.SetTerm(2, {"b", "c"}, 1, At(0));
  return tracker;
}

TEST_CASE(
    "writes are confirmed, in log order, once one replica that follows the primary's term has "
    "received them") {
  ConfirmationTracker tracker = MakeTracker();
  CHECK(tracker.Add(8, 2, {2, 11}, At(500), At(0)) == AddResult::kWaiting);
  CHECK(tracker.Add(7, 2, {2, 10}, At(500), At(0)) == AddResult::kWaiting);
  CHECK(tracker.WaitIndex() == 10);
  CHECK(tracker.OnStatus(MakeStatus("b", 2, 9), At(5)).empty());
  CHECK(tracker.OnStatus(MakeStatus("c", 2, 11), At(6)) == Ids{7, 8});
  // The status of replica c arrived before the primary's answer to write 9.
  CHECK(tracker.Add(9, 2, {2, 11}, At(500), At(7)) == AddResult::kConfirmed);
}

TEST_CASE("a replica whose log may differ from the primary's does not confirm a write") {
  ConfirmationTracker tracker = MakeTracker();
  tracker.Add(1, 2, {2, 10}, At(500), At(0));
  CHECK(tracker.OnStatus(MakeStatus("b", 1, 50), At(1)).empty());  // b follows an earlier term.
  CHECK(tracker.OnStatus(MakeStatus("b", 3, 50), At(1)).empty());  // b follows a later term.
  EndpointStatus untruncated = MakeStatus("b", 2, 50);
  untruncated.last = {1, 50};  // b has not yet truncated its log of term 1.
  CHECK(tracker.OnStatus(untruncated, At(1)).empty());
  CHECK(tracker.OnStatus(MakeStatus("a", 2, 50), At(1)).empty());  // Endpoint a is not a replica.
  CHECK(tracker.size() == 1);
}

TEST_CASE(
    "a write whose log entry has an earlier term is confirmed only once a replica has also "
    "received an entry of the current term") {
  ConfirmationTracker tracker = MakeTracker();
  CHECK(tracker.Add(1, 2, {1, 10}, At(500), At(0)) == AddResult::kWaiting);
  EndpointStatus synchronised = MakeStatus("b", 2, 10);
  synchronised.last = {1, 10};
  CHECK(tracker.OnStatus(synchronised, At(1)).empty());
  CHECK(tracker.OnStatus(MakeStatus("b", 2, 11), At(2)) == Ids{1});
}

TEST_CASE("replicas that follow a term do not confirm a write of the next term") {
  ConfirmationTracker tracker = MakeTracker();
  tracker.Add(1, 3, {3, 10}, At(500), At(0));
  CHECK(tracker.OnStatus(MakeStatus("b", 2, 50), At(1)).empty());
  CHECK(tracker.SetTerm(3, {"b", "c"}, 1, At(2)).empty());
  CHECK(tracker.OnStatus(MakeStatus("b", 3, 10), At(3)) == Ids{1});
}

TEST_CASE("writes that wait for confirmation are abandoned when a new term starts") {
  ConfirmationTracker tracker = MakeTracker();
  tracker.Add(1, 2, {2, 10}, At(500), At(0));
  // The primary of term 3 answers before the owner learns of term 3.
  tracker.Add(2, 3, {3, 11}, At(500), At(0));
  CHECK(tracker.SetTerm(3, {"a", "b"}, 1, At(1)) == Ids{1});
  CHECK(tracker.SetTerm(2, {"b", "c"}, 1, At(1)).empty());
  CHECK(tracker.OnStatus(MakeStatus("b", 2, 50), At(2)).empty());
  // The replaced primary of term 2 answers after term 3 has started: the log position in its answer
  // is not in the log of term 3.
  CHECK(tracker.Add(3, 2, {2, 10}, At(500), At(2)) == AddResult::kReplaced);
  CHECK(tracker.OnStatus(MakeStatus("b", 3, 11), At(3)) == Ids{2});
}

TEST_CASE(
    "a write is refused before it is sent if replicas are not expected to confirm it before its "
    "deadline") {
  ConfirmationTracker tracker = MakeTracker();
  CHECK(tracker.CanConfirm(At(100), At(0)));
  tracker.OnStatus(MakeStatus("b", 2, 9), At(1));
  tracker.Add(1, 2, {2, 10}, At(300), At(1));
  CHECK(tracker.CanConfirm(At(300), At(100)));
  // Write 1 has waited unconfirmed for 199 ms, and the new write has only 100 ms to its deadline.
  CHECK_FALSE(tracker.CanConfirm(At(300), At(200)));
  CHECK(tracker.NextExpiry() == At(300));
  CHECK(tracker.TakeExpired(At(300)) == Ids{1});
  // The expired write still counts as a stall of the replication; otherwise the next write would be
  // sent although it cannot be confirmed either.
  CHECK_FALSE(tracker.CanConfirm(At(600), At(310)));
  CHECK(tracker.WaitIndex() == 10);
  tracker.OnStatus(MakeStatus("b", 2, 10), At(320));
  CHECK(tracker.CanConfirm(At(600), At(321)));
  // The time is now 3000 ms. The last status of a replica came at 320 ms, more than 2 s earlier.
  CHECK_FALSE(tracker.CanConfirm(At(9000), At(3000)));
  CHECK_FALSE(tracker.PredictDelay(At(3000)).has_value());
}

TEST_CASE("when a group needs only the primary's acknowledgement, a write waits for no replica") {
  ConfirmationTracker tracker;
  tracker.SetTerm(2, {}, 0, At(0));
  CHECK(tracker.CanConfirm(At(1), At(0)));
  CHECK(tracker.Add(1, 2, {2, 10}, At(500), At(0)) == AddResult::kConfirmed);
}

TEST_CASE("the tracker reports each write exactly once, as confirmed, expired or abandoned") {
  CHECK(rc::check("tracker", [](const std::vector<uint16_t>& steps) {
    ConfirmationTracker tracker = MakeTracker();
    std::map<uint64_t, LogPosition> waiting;
    std::map<std::string, uint64_t> received;
    uint64_t term = 2;
    uint64_t index = 0;
    int64_t now = 0;
    const auto take = [&](const Ids& ids) {
      for (uint64_t id : ids) {
        RC_ASSERT(waiting.erase(id) == 1);
      }
    };
    for (uint16_t step : steps) {
      now += step % 16;
      if (step % 4 == 0) {
        ++index;
        if (tracker.Add(index, term, {term, index}, At(now + step % 64), At(now)) ==
            AddResult::kWaiting) {
          waiting.emplace(index, LogPosition{term, index});
        }
      } else if (step % 4 < 3) {
        const std::string name = step % 4 == 1 ? "b" : "c";
        received[name] = std::max(received[name], index - std::min<uint64_t>(index, step % 8));
        const Ids done = tracker.OnStatus(MakeStatus(name, term, received[name]), At(now));
        for (uint64_t id : done) {
          RC_ASSERT(waiting.at(id).index <= std::max(received["b"], received["c"]));
        }
        take(done);
      } else if (step % 64 == 3) {
        take(tracker.SetTerm(++term, {"b", "c"}, 1, At(now)));
        RC_ASSERT(waiting.empty());
        received.clear();
      }
      take(tracker.TakeExpired(At(now)));
    }
    RC_ASSERT(tracker.size() == waiting.size());
  }));
}

}  // namespace
}  // namespace poplarmoor
