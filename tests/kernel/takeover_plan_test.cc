#include "kernel/takeover_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "kernel/random.h"

namespace poplarmoor {
namespace {

using Kind = TakeoverStep::Kind;

MemberStatus Replica(const std::string& id, uint64_t index) {
  MemberStatus status;
  status.id = id;
  status.reachable = true;
  status.term = 3;
  status.received = {3, index};
  return status;
}

MemberStatus Primary(bool reachable, bool leaving = false) {
  MemberStatus status = Replica("p", 100);
  status.reachable = reachable;
  status.is_primary = reachable;
  status.leaving = leaving;
  return status;
}

TakeoverView View(TakeoverReason reason, std::vector<MemberStatus> members) {
  TakeoverView view;
  view.reason = reason;
  view.old_primary = "p";
  view.members = std::move(members);
  view.pause_term = 4;
  return view;
}

TEST_CASE(
    "a takeover first pauses replication at the replica with the shorter log and then promotes the "
    "replica with the longer log") {
  auto view =
      View(TakeoverReason::kPrimaryLost, {Primary(false), Replica("a", 90), Replica("b", 95)});
  TakeoverStep step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kPause);
  CHECK(step.endpoint == "a");
  view.members[1].active_pause_term = 4;
  step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kPromote);
  CHECK(step.endpoint == "b");
}

TEST_CASE(
    "when the primary is lost, a takeover waits while a replica does not answer, because that "
    "replica may be the only one with the latest commits") {
  MemberStatus silent = Replica("b", 0);
  silent.reachable = false;
  const auto view = View(TakeoverReason::kPrimaryLost, {Primary(false), Replica("a", 90), silent});
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
}

TEST_CASE(
    "a leaving primary steps down even if a replica does not answer, because the log of the "
    "primary has all commits") {
  MemberStatus silent = Replica("b", 0);
  silent.reachable = false;
  auto view =
      View(TakeoverReason::kPrimaryLeaving, {Primary(true, true), Replica("a", 90), silent});
  CHECK(NextTakeoverStep(view).kind == Kind::kStepDown);
  view.members[0].is_primary = false;
  view.members[0].active_pause_term = 4;
  // Endpoint p has stepped down and still has to leave the group. Replica a lacks ten commits, and
  // without a primary it cannot receive them, so p has to become primary again.
  TakeoverStep step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kPause);
  view.members[1].active_pause_term = 4;
  step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kPromote);
  CHECK(step.endpoint == "p");
}

TEST_CASE("a primary that answers is not replaced when it was only suspected to be lost") {
  const auto view =
      View(TakeoverReason::kPrimaryLost, {Primary(true), Replica("a", 100), Replica("b", 100)});
  CHECK(NextTakeoverStep(view).kind == Kind::kAbandon);
}

TEST_CASE(
    "a takeover from a leaving primary does not promote a replica while a paused replica has a "
    "longer log") {
  MemberStatus paused = Replica("b", 100);
  paused.active_pause_term = 4;
  paused.leaving = true;
  auto view =
      View(TakeoverReason::kPrimaryLeaving, {Primary(true, true), Replica("a", 98), paused});
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  view.members[1].received.index = 100;
  const TakeoverStep step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kPromote);
  CHECK(step.endpoint == "a");
}

// Guards against commits that a primary acknowledges through a replica which joins during the
// promotion: it can do so only while it cannot reach the candidate.
TEST_CASE("a takeover does not pause the candidate for promotion while the primary leads") {
  auto view = View(TakeoverReason::kPrimaryLeaving,
                   {Primary(true, true), Replica("a", 100), Replica("b", 99)});
  TakeoverStep step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kPause);
  CHECK(step.endpoint == "b");
  // The answer to the pause order is newer than the status of the candidate.
  view.members[2].active_pause_term = 4;
  view.members[2].received.index = 102;
  step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kWait);
  CHECK(step.catching_up);
  CHECK(step.endpoint == "a");
  view.members[1].received.index = 102;
  step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kPromote);
  CHECK(step.endpoint == "a");
}

// Guards against the same with a primary that is only silent, for example behind a partition.
TEST_CASE("a takeover pauses the candidate of a silent primary only if it does not catch up") {
  MemberStatus paused = Replica("b", 102);
  paused.active_pause_term = 4;
  auto view = View(TakeoverReason::kPrimaryLost, {Primary(false), Replica("a", 100), paused});
  TakeoverStep step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kWait);
  CHECK(step.catching_up);
  view.catch_up_failed = true;
  step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kPause);
  CHECK(step.endpoint == "a");
  view.members[1].active_pause_term = 4;
  step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kPromote);
  CHECK(step.endpoint == "b");
  // The primary was only silent, and could commit through a replica that joins.
  view.members[0] = Primary(true);
  step = NextPromotionGuardStep(view, "b");
  CHECK(step.kind == Kind::kStepDown);
  CHECK(step.endpoint == "p");
}

// Guards against a takeover that waits for ever for a candidate that receives nothing.
TEST_CASE("a takeover is abandoned when its candidate does not catch up with a paused replica") {
  MemberStatus paused = Replica("b", 102);
  paused.active_pause_term = 4;
  auto view =
      View(TakeoverReason::kPrimaryLeaving, {Primary(true, true), Replica("a", 100), paused});
  view.catch_up_failed = true;
  CHECK(NextTakeoverStep(view).kind == Kind::kAbandon);
}

// Guards against commits that a replica without a pause receives while all others are paused.
TEST_CASE("a primary steps down before a promotion if the candidate is paused") {
  MemberStatus paused = Replica("a", 100);
  paused.active_pause_term = 4;
  const auto view = View(TakeoverReason::kPrimaryLeaving, {Primary(true, true), paused});
  CHECK(NextTakeoverStep(view).kind == Kind::kStepDown);
}

// Guards against commits that only a replica has received which joined or restarted while the
// platform carried out the promotion.
TEST_CASE("a replica that joins or restarts during a promotion is paused") {
  MemberStatus paused = Replica("b", 100);
  paused.active_pause_term = 4;
  auto view =
      View(TakeoverReason::kPrimaryLeaving, {Primary(true, true), Replica("a", 100), paused});
  CHECK(NextPromotionGuardStep(view, "a").kind == Kind::kWait);
  view.members.push_back(Replica("joined", 101));
  TakeoverStep step = NextPromotionGuardStep(view, "a");
  CHECK(step.kind == Kind::kPause);
  CHECK(step.endpoint == "joined");
  view.members[3].active_pause_term = 4;
  CHECK(NextPromotionGuardStep(view, "a").kind == Kind::kWait);
  view.members[2].active_pause_term = 0;
  CHECK(NextPromotionGuardStep(view, "a").endpoint == "b");
  // A replica of the new term follows the promoted endpoint and must not be paused.
  view.members[2].term = 4;
  CHECK(NextPromotionGuardStep(view, "a").kind == Kind::kWait);
}

// Guards against replicas that stay paused after a promotion because they had not heard of the new
// primary when the guard read their status.
TEST_CASE("no replica is paused once the candidate leads") {
  MemberStatus promoted = Replica("a", 100);
  promoted.is_primary = true;
  promoted.term = 4;
  const auto view =
      View(TakeoverReason::kPrimaryLeaving, {Replica("p", 100), promoted, Replica("b", 100)});
  CHECK(NextPromotionGuardStep(view, "a").kind == Kind::kWait);
}

// Guards against a takeover that resumes the replicas, or promotes another endpoint, while the
// platform may still carry out the order of an earlier takeover.
TEST_CASE("a takeover goes on with the promotion that an earlier one has ordered") {
  auto view = View(TakeoverReason::kPrimaryLost,
                   {Primary(true), Replica("a", 98), Replica("b", 100), Replica("c", 100)});
  CHECK(NextTakeoverStep(view).kind == Kind::kAbandon);
  view.ordered = {{"a", {3, 95}}};
  CHECK(NextTakeoverStep(view).kind == Kind::kPromote);
  CHECK(NextTakeoverStep(view).endpoint == "a");
  // The newest candidate has all commits that were acknowledged since its order.
  view.ordered.push_back({"b", {3, 100}});
  CHECK(NextTakeoverStep(view).endpoint == "b");
  // It has started again without its log.
  view.members[2].received = {};
  CHECK(NextTakeoverStep(view).endpoint == "a");
  view.members[1].received = {};
  CHECK(NextTakeoverStep(view).kind == Kind::kPause);
  // The takeover is not abandoned, although the primary answers and the candidate lacks entries.
  view.members[2] = Replica("b", 90);
  view.ordered = {{"b", {3, 95}}};
  view.members[1].active_pause_term = view.members[3].active_pause_term = 4;
  view.members[1].received = {3, 101};
  view.catch_up_failed = true;
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
}

// Guards against the loss of commits that a replica had which has started again without its log:
// the others may lack them, and the primary has them.
TEST_CASE("a takeover does not rely on the log of a replica that has lost it") {
  for (const bool answers : {false, true}) {
    auto view = View(TakeoverReason::kReplicationStalled,
                     {Primary(answers), Replica("a", 0), Replica("b", 90)});
    view.members[1].received = {};
    view.members[1].active_pause_term = 4;
    view.known_position = {3, 100};
    view.synchronous_replicas = 1;
    // A replica that has just joined never had a log.
    CHECK(NextTakeoverStep(view).kind == Kind::kPromote);
    view.members[1].recorded = true;
    CHECK(NextTakeoverStep(view).kind == (answers ? Kind::kStepDown : Kind::kWait));
  }
  // The primary has stepped down and is promoted again.
  auto view = View(TakeoverReason::kReplicationStalled,
                   {Replica("p", 100), Replica("a", 0), Replica("b", 90)});
  view.members[1].received = {};
  view.members[1].recorded = true;
  view.known_position = {3, 100};
  for (int order = 0; order < 3 && NextTakeoverStep(view).kind == Kind::kPause; ++order) {
    for (MemberStatus& member : view.members) {
      member.active_pause_term =
          member.id == NextTakeoverStep(view).endpoint ? 4 : member.active_pause_term;
    }
  }
  CHECK(NextTakeoverStep(view).kind == Kind::kPromote);
  CHECK(NextTakeoverStep(view).endpoint == "p");
}

// Guards against a service without a primary for ever when the candidate of an ordered promotion is
// gone for good.
TEST_CASE("a takeover promotes another endpoint if the ordered candidate is gone") {
  MemberStatus gone = Replica("a", 0);
  gone.reachable = false;
  auto view = View(TakeoverReason::kUnfinished, {Primary(true), gone, Replica("b", 100)});
  view.ordered = {{"a", {3, 95}}};
  view.known_position = {3, 100};
  view.synchronous_replicas = 1;
  CHECK(NextTakeoverStep(view).kind == Kind::kStepDown);
  view.members[0] = Replica("p", 100);
  REQUIRE(NextTakeoverStep(view).kind == Kind::kPause);
  view.members[NextTakeoverStep(view).endpoint == "p" ? 0 : 2].active_pause_term = 4;
  CHECK(NextTakeoverStep(view).kind == Kind::kPromote);
  // The candidate may have led, and with another unknown log its commits may be missing.
  view.members.push_back(gone);
  view.members.back().id = "c";
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  // The same if the candidate has been forgotten.
  view.members.erase(view.members.begin() + 1);
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
}

// Guards against the promotion of an endpoint that has started again without its log while the
// primary, which is the only one with the log, cannot be reached or cannot reach its replicas.
TEST_CASE("a replica with an empty log is not promoted if the service has commits") {
  for (const bool answers : {false, true}) {
    auto view = View(TakeoverReason::kReplicationStalled,
                     {Primary(answers), Replica("a", 0), Replica("b", 0)});
    view.members[1].received = view.members[2].received = {};
    view.members[2].active_pause_term = 4;
    view.known_position = {3, 100};
    view.synchronous_replicas = 1;
    CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  }
}

// Guards against a former primary whose log counts as whole although another endpoint has led
// since.
TEST_CASE("the old primary's log is not whole if another promotion may have taken place") {
  MemberStatus silent = Replica("b", 0);
  silent.reachable = false;
  auto view = View(TakeoverReason::kPrimaryLost, {Replica("p", 100), Replica("a", 90), silent});
  view.synchronous_replicas = 1;
  CHECK(NextTakeoverStep(view).kind == Kind::kPause);
  // Endpoint b may have led, and its commits may be at c alone.
  MemberStatus other = silent;
  other.id = "c";
  view.members.push_back(other);
  CHECK(NextTakeoverStep(view).kind == Kind::kPause);
  view.ordered = {{"b", {3, 90}, 4}};
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  // A promotion of b would have ended the pause that was ordered before it.
  CHECK_FALSE(NoneHasLed(view));
  view.members[1].active_pause_term = 4;
  CHECK(NoneHasLed(view));
  view.none_has_led = true;
  CHECK(NextTakeoverStep(view).kind == Kind::kPause);
}

// The statuses of a takeover are read one after the other while the primary commits, a replica
// joins at a random step, and the platform needs 20 steps for the promotion. The takeover learns of
// the new replica two steps later.
TEST_CASE("in random takeovers, no commit that only a joining replica has received is lost") {
  constexpr size_t kPromotionSteps = 20;
  constexpr size_t kRegistrationSteps = 2;
  for (uint64_t seed = 0; seed < 3000; ++seed) {
    RandomEngine random(seed);
    std::vector<MemberStatus> members{Primary(true, true), Replica("a", 100), Replica("b", 100)};
    auto view = View(TakeoverReason::kPrimaryLeaving, members);
    uint64_t acknowledged = 100;
    std::string candidate;
    size_t promoted_at = 0;
    const size_t joins_at = RandomBelow(&random, kPromotionSteps);
    for (size_t step = 0; candidate.empty() || step < promoted_at; ++step) {
      REQUIRE(step < 500);
      if (step == joins_at) {
        members.push_back(Replica("joined", members[0].received.index));
      }
      if (step == joins_at + kRegistrationSteps) {
        view.members.push_back(members.back());
      }
      members[0].received.index += RandomBelow(&random, 3);
      for (size_t i = 1; i < members.size(); ++i) {
        if (members[i].active_pause_term == 0) {
          members[i].received.index = members[0].received.index;
          acknowledged = members[0].received.index;
        }
      }
      const TakeoverStep next =
          candidate.empty() ? NextTakeoverStep(view) : NextPromotionGuardStep(view, candidate);
      if (next.kind == Kind::kPromote) {
        candidate = next.endpoint;
        promoted_at = step + kPromotionSteps;
      }
      // An order returns the status of its endpoint; a wait reads that of all members.
      for (size_t i = 0; i < view.members.size(); ++i) {
        if (next.kind == Kind::kPause && members[i].id == next.endpoint) {
          members[i].active_pause_term = 4;
        }
        if (next.kind == Kind::kWait || members[i].id == next.endpoint) {
          view.members[i] = members[i];
        }
      }
    }
    for (const MemberStatus& member : members) {
      INFO("seed " << seed);
      CHECK((member.id != candidate || member.received.index >= acknowledged));
    }
  }
}

TEST_CASE("a takeover does not promote a leaving replica if another replica has the same log") {
  MemberStatus leaving = Replica("a", 95);
  leaving.leaving = true;
  leaving.active_pause_term = 4;
  const auto view = View(TakeoverReason::kPrimaryLost, {Primary(false), leaving, Replica("b", 95)});
  const TakeoverStep step = NextTakeoverStep(view);
  CHECK(step.kind == Kind::kPromote);
  CHECK(step.endpoint == "b");
}

TEST_CASE(
    "a takeover ends without a promotion if another endpoint has already become primary, so that "
    "there are never two primaries") {
  MemberStatus other_primary = Replica("a", 95);
  other_primary.is_primary = true;
  CHECK(
      NextTakeoverStep(View(TakeoverReason::kPrimaryLost, {Primary(false), other_primary})).kind ==
      Kind::kAbandon);
}

TEST_CASE(
    "when the former primary has restarted without its log, a takeover waits while a replica does "
    "not answer") {
  MemberStatus restarted = Replica("p", 0);
  MemberStatus silent = Replica("b", 0);
  silent.reachable = false;
  const auto view = View(TakeoverReason::kPrimaryLost, {restarted, Replica("a", 90), silent});
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
}

// The primary either keeps committing while the takeover performs its steps, or crashes before the
// takeover starts.
TEST_CASE("in random takeovers, no acknowledged commit is missing at the promoted endpoint") {
  for (uint64_t seed = 0; seed < 3000; ++seed) {
    RandomEngine random(seed);
    std::vector<MemberStatus> members{Primary(true, true), Replica("a", 100), Replica("b", 100)};
    members[0].received.index = 100;
    const bool crashes = RandomBelow(&random, 2) == 0;
    uint64_t acknowledged = 100;
    std::string promoted;
    for (int step = 0; step < 200 && promoted.empty(); ++step) {
      // The primary adds up to two commits in each step. A replica that is not paused receives the
      // primary's log in a randomly chosen half of the steps.
      if (members[0].reachable && members[0].is_primary) {
        members[0].received.index += RandomBelow(&random, 3);
        for (size_t i = 1; i < members.size(); ++i) {
          if (members[i].active_pause_term == 0 && RandomBelow(&random, 2) == 0) {
            members[i].received.index = members[0].received.index;
            acknowledged = std::max(acknowledged, members[i].received.index);
          }
        }
      }
      if (crashes && step == 20) {
        members[0].reachable = false;
        members[0].is_primary = false;
      }
      const auto reason = crashes ? TakeoverReason::kPrimaryLost : TakeoverReason::kPrimaryLeaving;
      if (crashes && step < 20) {
        continue;
      }
      const TakeoverStep next = NextTakeoverStep(View(reason, members));
      if (next.kind == Kind::kPause) {
        for (MemberStatus& member : members) {
          member.active_pause_term = member.id == next.endpoint ? 4 : member.active_pause_term;
        }
      } else if (next.kind == Kind::kPromote) {
        promoted = next.endpoint;
        for (const MemberStatus& member : members) {
          if (member.id == promoted) {
            INFO("seed " << seed);
            CHECK(member.received.index >= acknowledged);
          }
        }
      }
    }
    INFO("seed " << seed);
    CHECK_FALSE(promoted.empty());
  }
}

TEST_CASE(
    "while an earlier takeover's command to resume replication may still arrive, a leaving "
    "primary steps down before any replica is paused, so that no commit is lost") {
  auto view = View(TakeoverReason::kPrimaryLeaving,
                   {Primary(true, true), Replica("a", 100), Replica("b", 100)});
  view.resume_pending = true;
  CHECK(NextTakeoverStep(view).kind == Kind::kStepDown);
  view.members[0].is_primary = false;
  CHECK(NextTakeoverStep(view).kind == Kind::kPause);
  // A primary that counts as lost may still acknowledge commits behind a network partition.
  view = View(TakeoverReason::kPrimaryLost, {Primary(false), Replica("a", 95), Replica("b", 95)});
  view.resume_pending = true;
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
}

// An earlier takeover sent the replicas a command to resume replication. This command is delayed:
// it arrives at a random step of the present takeover and ends the pauses of all replicas.
TEST_CASE(
    "in random takeovers, no acknowledged commit is lost even if a replica's pause is ended by an "
    "earlier takeover's delayed command to resume replication") {
  for (uint64_t seed = 0; seed < 2000; ++seed) {
    RandomEngine random(seed);
    std::vector<MemberStatus> members{Primary(true, true), Replica("a", 100), Replica("b", 100)};
    uint64_t acknowledged = 100;
    std::string promoted;
    const size_t resumed_at = RandomBelow(&random, 12);
    TakeoverView view;
    for (size_t step = 0; step < 200 && promoted.empty(); ++step) {
      if (step == resumed_at) {
        members[1].active_pause_term = members[2].active_pause_term = 0;
      }
      if (members[0].is_primary) {
        members[0].received.index += RandomBelow(&random, 3);
      }
      for (size_t i = 1; i < members.size(); ++i) {
        if (members[i].active_pause_term == 0 && RandomBelow(&random, 2) == 0) {
          members[i].received.index = members[0].received.index;
          acknowledged = std::max(acknowledged, members[i].received.index);
        }
      }
      // In every second step, the takeover decides from the statuses read one step earlier.
      if (step % 2 == 0) {
        view = View(TakeoverReason::kPrimaryLeaving, members);
        view.resume_pending = true;
      }
      const TakeoverStep next = NextTakeoverStep(view);
      for (size_t i = 0; i < members.size(); ++i) {
        if (members[i].id != next.endpoint) {
          continue;
        }
        if (next.kind == Kind::kPause) {
          members[i].active_pause_term = 4;
        } else if (next.kind == Kind::kStepDown) {
          members[i].is_primary = false;
        }
        view.members[i] = members[i];
      }
      if (next.kind == Kind::kPromote) {
        promoted = next.endpoint;
        for (const MemberStatus& member : members) {
          INFO("seed " << seed);
          CHECK((member.id != promoted || member.received.index >= acknowledged));
        }
      }
    }
    INFO("seed " << seed);
    CHECK_FALSE(promoted.empty());
  }
}

MemberStatus Departed(MemberStatus status, bool reachable) {
  status.departed = true;
  status.reachable = reachable;
  return status;
}

// Guards against the loss of commits that only an endpoint without a registry entry has received,
// for example one that a network partition cuts off from the registry together with the primary.
TEST_CASE("a takeover waits for a departed member that may have commits which the others lack") {
  auto view = View(TakeoverReason::kPrimaryLost,
                   {Primary(false), Replica("a", 90), Departed(Replica("b", 0), false)});
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  // The departed member answers and has a longer log. It is not in the registry, so it cannot be
  // promoted, and replica a lacks its commits.
  view.members[2] = Departed(Replica("b", 95), true);
  CHECK(NextTakeoverStep(view).endpoint == "b");
  CHECK(NextTakeoverStep(view).kind == Kind::kPause);
  view.members[2].active_pause_term = 4;
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  view.members[1].received.index = 95;
  CHECK(NextTakeoverStep(view).kind == Kind::kPromote);
  CHECK(NextTakeoverStep(view).endpoint == "a");
}

// Guards against an outage that lasts as long as the primary's registry entry is missing.
TEST_CASE("a primary that has no registry entry any more is replaced although it answers") {
  auto view = View(TakeoverReason::kPrimaryLost,
                   {Departed(Primary(true), true), Replica("a", 100), Replica("b", 100)});
  CHECK(NextTakeoverStep(view).kind == Kind::kPause);
  view.members[2].active_pause_term = 4;
  CHECK(NextTakeoverStep(view).kind == Kind::kPromote);
  CHECK(NextTakeoverStep(view).endpoint == "a");
}

// Guards against the loss of commits that a former primary has received as a replica: this daemon
// may not know that another endpoint, which is not in the registry, leads by now.
TEST_CASE("a takeover waits for the former primary when a departed member leads") {
  MemberStatus leader = Departed(Replica("d", 100), true);
  leader.is_primary = true;
  const auto view = View(TakeoverReason::kPrimaryLost, {Primary(false), leader, Replica("a", 90)});
  CHECK(NextTakeoverStep(view).kind == Kind::kStepDown);
  CHECK(NextTakeoverStep(view).endpoint == "d");
}

// Guards against a service without a primary for as long as one member is gone: daemons that start
// anew do not know which member was the primary, and waited for each of them.
TEST_CASE("a takeover without a known former primary does not wait for a single departed member") {
  auto view = View(TakeoverReason::kNoPrimary,
                   {Replica("a", 100), Replica("b", 99), Departed(Replica("gone", 0), false)});
  view.old_primary.clear();
  view.synchronous_replicas = 1;
  CHECK(NextTakeoverStep(view).kind == Kind::kPause);
  CHECK(NextTakeoverStep(view).endpoint == "b");
  view.members[1].active_pause_term = 4;
  CHECK(NextTakeoverStep(view).kind == Kind::kPromote);
  CHECK(NextTakeoverStep(view).endpoint == "a");
  // The departed member and one that has started again without its log may be the only ones with
  // some commit. So may two departed members.
  view.members[1] = Replica("b", 0);
  view.members[1].received = {};
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  view.members[1] = Departed(Replica("b", 0), false);
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  // A member that leads goes on with commits through the departed one.
  view.members[1] = Primary(true);
  view.old_primary = "p";
  view.reason = TakeoverReason::kPrimaryLeaving;
  CHECK(NextTakeoverStep(view).kind == Kind::kStepDown);
}

// Guards against the loss of all recent commits by a daemon that starts while the registry has only
// one endpoint of the group, and before any record of the members was stored.
TEST_CASE("a single known member is not promoted if commits are acknowledged by two") {
  auto view = View(TakeoverReason::kNoPrimary, {Replica("a", 100)});
  view.old_primary.clear();
  view.synchronous_replicas = 1;
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  view.synchronous_replicas = 0;
  CHECK(NextTakeoverStep(view).kind == Kind::kPromote);
}

// Guards against the loss of all commits when a whole group was down and the former primary is the
// first one to answer, without its log.
TEST_CASE("a former primary without its log is not promoted while the replicas do not answer") {
  MemberStatus restarted = Replica("p", 0);
  MemberStatus a = Replica("a", 0);
  MemberStatus b = Replica("b", 0);
  a.reachable = b.reachable = false;
  auto view = View(TakeoverReason::kPrimaryLost, {restarted, a, b});
  view.synchronous_replicas = 1;
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  // It has begun to receive, but lacks what it is known to have had.
  view.members[0] = Replica("p", 90);
  view.known_position = {3, 100};
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  // One replica does not suffice: the former primary and the other one may have had the last
  // commit.
  view.members[1] = Replica("a", 100);
  CHECK(NextTakeoverStep(view).kind == Kind::kWait);
  view.members[0] = Replica("p", 100);
  CHECK(NextTakeoverStep(view).kind != Kind::kWait);
  view.members[0] = restarted;
  view.members[2] = Replica("b", 100);
  view.members[0].active_pause_term = view.members[1].active_pause_term = 4;
  CHECK(NextTakeoverStep(view).kind == Kind::kPromote);
  CHECK(NextTakeoverStep(view).endpoint == "b");
}

// Guards against the loss of commits when a takeover goes on without the logs of some members. Each
// commit is received by the primary and `copies` other members, while one is cut off. Then some
// members are down, others have lost their logs, and new daemons know no former primary.
TEST_CASE("in random takeovers after a restart of all daemons, no acknowledged commit is lost") {
  size_t promotions = 0;
  for (uint64_t seed = 0; seed < 4000; ++seed) {
    RandomEngine random(seed);
    const uint32_t copies = 1 + static_cast<uint32_t>(RandomBelow(&random, 2));
    std::vector<MemberStatus> members;
    for (size_t i = 0; i < 3 + RandomBelow(&random, 3); ++i) {
      members.push_back(Replica(std::string(1, static_cast<char>('a' + i)), 1));
    }
    const size_t primary = RandomBelow(&random, members.size());
    uint64_t acknowledged = 1;
    for (uint64_t commit = 2; commit < 6; ++commit) {
      members[primary].received.index = commit;
      size_t received = 0;
      for (size_t i = 0; i < members.size(); ++i) {
        if (i != primary && RandomBelow(&random, 3) == 0) {
          members[i].received.index = commit;
          ++received;
        }
      }
      acknowledged = received >= copies ? commit : acknowledged;
    }
    for (MemberStatus& member : members) {
      const uint64_t fate = RandomBelow(&random, 6);
      member.reachable = fate != 0 && fate != 1;
      member.departed = fate == 1;
      member.received = fate == 2 ? LogPosition{} : member.received;
    }
    for (int step = 0; step < 50; ++step) {
      auto view = View(TakeoverReason::kNoPrimary, members);
      view.old_primary.clear();
      view.synchronous_replicas = copies;
      view.catch_up_failed = step > 10;
      // Without a member that is down, a takeover goes on: lost logs do not come back.
      const bool none_down = std::all_of(members.begin(), members.end(),
                                         [](const auto& member) { return member.reachable; });
      const TakeoverStep next = NextTakeoverStep(view);
      for (MemberStatus& member : members) {
        if (member.id != next.endpoint || none_down) {
          continue;
        }
        if (next.kind == Kind::kPause) {
          member.active_pause_term = 4;
        } else if (next.kind == Kind::kPromote) {
          INFO("seed " << seed);
          CHECK(member.received.index >= acknowledged);
          ++promotions;
          step = 50;
        }
      }
    }
  }
  CHECK(promotions > 200);
}

// Guards against takeovers that compare too few logs, and against takeovers that wait for an
// endpoint that is gone for good.
TEST_CASE(
    "a departed member is forgotten only when all registered replicas have received what the "
    "primary had after the departure") {
  const MemberStatus gone = Departed(Replica("b", 0), false);
  const std::vector<MemberStatus> before{Primary(true), Replica("a", 100), gone};
  CHECK(MembersToForget(before, {Primary(true), Replica("a", 100), gone}) ==
        std::vector<std::string>{"b"});
  CHECK(MembersToForget(before, {Primary(true), Replica("a", 99), gone}).empty());
  CHECK(MembersToForget(before, {Primary(false), Replica("a", 100), gone}).empty());
  CHECK(MembersToForget({Primary(false), Replica("a", 100), gone}, before).empty());
  CHECK(MembersToForget(before, {Primary(true), gone}).empty());
  MemberStatus silent = Replica("a", 100);
  silent.reachable = false;
  CHECK(MembersToForget(before, {Primary(true), silent, gone}).empty());
  // A departed member that answers may still receive commits.
  const MemberStatus answers = Departed(Replica("b", 100), true);
  CHECK(MembersToForget(before, {Primary(true), Replica("a", 100), answers}).empty());
  CHECK(MembersToForget({Primary(true), Replica("a", 100), answers}, before).empty());
  // So may one that is at its connection limit.
  MemberStatus full = gone;
  full.refused = true;
  CHECK(MembersToForget(before, {Primary(true), Replica("a", 100), full}).empty());
  CHECK(MembersToForget({Primary(true), Replica("a", 100), full}, before).empty());
  // Between the two rounds another endpoint was promoted: the positions are not comparable.
  MemberStatus next = Primary(true);
  next.term = 4;
  CHECK(MembersToForget(before, {next, Replica("a", 100), gone}).empty());
}

// The primary and the departed member are on the same side of a partition and go on with commits,
// until the primary crashes and the partition heals. After 10 waiting steps a candidate counts as
// unable to catch up.
TEST_CASE("in random takeovers, no commit that only a departed member has received is lost") {
  for (uint64_t seed = 0; seed < 2000; ++seed) {
    RandomEngine random(seed);
    std::vector<MemberStatus> members{Primary(false), Replica("a", 100), Replica("b", 100),
                                      Departed(Replica("c", 100), false)};
    uint64_t acknowledged = 100;
    const size_t crash = RandomBelow(&random, 20);
    const size_t healing = RandomBelow(&random, 20);
    const size_t registration = healing + RandomBelow(&random, 20);
    std::string promoted;
    size_t waited = 0;
    for (size_t step = 0; step < 200 && promoted.empty(); ++step) {
      MemberStatus& departed = members[3];
      departed.reachable = step >= healing;
      departed.departed = step < registration;
      if (step < crash && departed.active_pause_term == 0) {
        departed.received.index += RandomBelow(&random, 3);
        acknowledged = departed.received.index;
      }
      auto view = View(TakeoverReason::kPrimaryLost, members);
      view.catch_up_failed = waited > 10;
      const TakeoverStep next = NextTakeoverStep(view);
      waited = next.catching_up ? waited + 1 : 0;
      for (MemberStatus& member : members) {
        if (member.id != next.endpoint) {
          continue;
        }
        if (next.kind == Kind::kPause) {
          member.active_pause_term = 4;
        } else if (next.kind == Kind::kPromote) {
          promoted = member.id;
          INFO("seed " << seed);
          CHECK(member.received.index >= acknowledged);
        }
      }
    }
    INFO("seed " << seed);
    CHECK_FALSE(promoted.empty());
  }
}

}  // namespace
}  // namespace poplarmoor
