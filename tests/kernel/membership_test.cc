#include "kernel/membership.h"

#include <catch2/catch.hpp>

#include "kernel/virtual_cluster.h"

namespace poplarmoor {
namespace {

bool IsDead(const Member* member) {
  return member == nullptr || member->state == MemberState::kDead;
}

bool IsLive(const Member* member) {
  return !IsDead(member);
}

VirtualClusterOptions Shape(size_t members, size_t domains, uint64_t seed = 1) {
  VirtualClusterOptions options;
  options.members = members;
  options.failure_domains = domains;
  options.seed = seed;
  return options;
}

/// Runs and counts the ticks at which any running daemon holds another running one dead.
size_t CountFalseDeaths(VirtualCluster* cluster, Duration duration) {
  size_t wrong = 0;
  for (Duration passed{0}; passed < duration; passed += 100ms) {
    cluster->Run(100ms);
    for (size_t i = 0; i < cluster->size(); ++i) {
      if (cluster->GetNode(i).running) {
        wrong += cluster->CountViews(i, IsDead);
      }
    }
  }
  return wrong;
}

TEST_CASE("a dead daemon is noticed everywhere, or its endpoints stay without an owner") {
  for (const size_t members : {8, 60, 200}) {
    VirtualCluster cluster(Shape(members, members < 10 ? 3 : 13));
    cluster.Run(5s);
    cluster.Kill(2);
    const Duration taken =
        cluster.RunUntil([&] { return cluster.CountViews(2, IsLive) == 0; }, 30s);
    INFO("members " << members << ", noticed after ms " << ToMillis(taken));
    CHECK(taken >= 3s);  // The suspicion period leaves time to refute.
    CHECK(taken <= 12s);
  }
}

TEST_CASE("no daemon is declared dead while messages are lost, or owners change without cause") {
  VirtualClusterOptions options = Shape(60, 3);
  options.loss = 0.05;
  VirtualCluster cluster(options);
  CHECK(CountFalseDeaths(&cluster, 120s) == 0);
}

TEST_CASE(
    "a daemon paused for less than the suspicion period is not declared dead by others, and "
    "declares no other dead when it resumes") {
  VirtualCluster cluster(Shape(30, 3));
  cluster.Run(5s);
  size_t wrong = 0;
  for (size_t i = 0; i < 10; ++i) {
    cluster.SetPaused(i, true);
    wrong += CountFalseDeaths(&cluster, 2500ms);
    cluster.SetPaused(i, false);
    wrong += CountFalseDeaths(&cluster, 5s);
  }
  CHECK(wrong == 0);
}

TEST_CASE("a daemon paused for long refutes its death when it resumes, or it never owns again") {
  VirtualCluster cluster(Shape(30, 3));
  cluster.Run(5s);
  cluster.SetPaused(4, true);
  cluster.Run(20s);
  CHECK(cluster.CountViews(4, IsDead) == 29);
  cluster.SetPaused(4, false);
  CHECK(cluster.RunUntil([&] { return cluster.AllAgree(); }, 20s) < 20s);
}

TEST_CASE("a one-sided cut between two daemons makes neither dead") {
  VirtualCluster cluster(Shape(24, 3));
  cluster.SetCut([](size_t from, size_t to) { return from == 0 && to == 3; });
  CHECK(CountFalseDeaths(&cluster, 60s) == 0);
}

TEST_CASE(
    "a daemon that can send but not receive is dead for the others and accuses none of them "
    "successfully") {
  VirtualCluster cluster(Shape(24, 3));
  cluster.Run(5s);
  cluster.SetCut([](size_t, size_t to) { return to == 0; });
  size_t wrong = 0;
  for (int i = 0; i < 40; ++i) {
    cluster.Run(1s);
    for (size_t subject = 1; subject < cluster.size(); ++subject) {
      for (size_t viewer = 1; viewer < cluster.size(); ++viewer) {
        wrong += IsDead(cluster.GetNode(viewer).membership->Table().Find(
                     cluster.GetNode(subject).self.daemon))
                     ? 1
                     : 0;
      }
    }
  }
  CHECK(wrong == 0);
  CHECK(cluster.CountViews(0, IsDead) == 23);
}

TEST_CASE(
    "a cut failure domain keeps its own members and is joined again after the cut, or two "
    "halves assign owners for ever") {
  VirtualCluster cluster(Shape(39, 3));
  const auto in_domain = [](size_t index) { return index % 3 == 0; };
  cluster.Run(5s);
  cluster.SetCut([&](size_t from, size_t to) { return in_domain(from) != in_domain(to); });
  cluster.Run(60s);
  size_t lost_inside = 0;
  size_t kept_outside = 0;
  for (size_t subject = 0; subject < cluster.size(); subject += 3) {
    for (size_t viewer = 0; viewer < cluster.size(); ++viewer) {
      const bool dead = IsDead(
          cluster.GetNode(viewer).membership->Table().Find(cluster.GetNode(subject).self.daemon));
      lost_inside += dead && in_domain(viewer) ? 1 : 0;
      kept_outside += !dead && !in_domain(viewer) ? 1 : 0;
    }
  }
  CHECK(lost_inside == 0);
  CHECK(kept_outside == 0);

  cluster.SetCut(nullptr);
  size_t flapped_inside = 0;
  const Duration healed = cluster.RunUntil(
      [&] {
        for (size_t subject = 0; subject < cluster.size(); subject += 3) {
          for (size_t viewer = 0; viewer < cluster.size(); viewer += 3) {
            flapped_inside += IsDead(cluster.GetNode(viewer).membership->Table().Find(
                                  cluster.GetNode(subject).self.daemon))
                                  ? 1
                                  : 0;
          }
        }
        return cluster.AllAgree();
      },
      60s);
  INFO("healed after ms " << ToMillis(healed));
  CHECK(healed < 30s);
  CHECK(flapped_inside == 0);
}

TEST_CASE(
    "all daemons restarted at once find each other by the seeds, or a full replacement of "
    "the VMs never recovers") {
  VirtualClusterOptions options = Shape(40, 3);
  options.know_each_other = false;
  VirtualCluster cluster(options);
  CHECK(cluster.RunUntil([&] { return cluster.AllAgree(); }, 60s) < 30s);
  for (size_t i = 0; i < cluster.size(); ++i) {
    cluster.Restart(i);
  }
  CHECK(cluster.RunUntil([&] { return cluster.AllAgree(); }, 60s) < 30s);
}

TEST_CASE("a daemon restarted under its name replaces its earlier incarnation") {
  VirtualCluster cluster(Shape(20, 3));
  cluster.Run(5s);
  cluster.Kill(5);
  cluster.Run(1s);
  cluster.Restart(5);
  const uint64_t incarnation = cluster.GetNode(5).self.incarnation;
  CHECK(cluster.RunUntil([&] { return cluster.AllAgree(); }, 20s) < 20s);
  CHECK(cluster.CountViews(5, [&](const Member* member) {
    return member != nullptr && member->incarnation >= incarnation;
  }) == 20);
}

TEST_CASE("a restart with a clock that went back still replaces the earlier start") {
  VirtualCluster cluster(Shape(9, 3));
  cluster.Restart(5);
  cluster.Run(10s);
  cluster.GetNode(5).self.incarnation = 1;  // Restart() then starts with 1001, as before.
  cluster.Kill(5);
  cluster.Run(20s);
  cluster.Restart(5);
  CHECK(cluster.RunUntil([&] { return cluster.AllAgree(); }, 30s) < 30s);
}

TEST_CASE("a leaving daemon is known as leaving and then dead without a suspicion period") {
  VirtualCluster cluster(Shape(20, 3));
  cluster.Run(5s);
  cluster.GetNode(7).membership->Leave();
  const auto is_leaving = [](const Member* member) {
    return member != nullptr && member->state == MemberState::kLeaving;
  };
  CHECK(cluster.RunUntil([&] { return cluster.CountViews(7, is_leaving) == 20; }, 10s) < 6s);
  cluster.GetNode(7).membership->Stop();
  cluster.Flush(7);
  cluster.Kill(7);
  CHECK(cluster.RunUntil([&] { return cluster.CountViews(7, IsDead) == 19; }, 10s) < 6s);
}

TEST_CASE("dead members are forgotten, or the table grows with every replaced VM") {
  VirtualClusterOptions options = Shape(9, 3);
  options.membership.dead_retention = 60s;
  VirtualCluster cluster(options);
  cluster.Kill(3);
  cluster.Run(20s);
  CHECK(cluster.GetNode(0).membership->Table().size() == 9);
  cluster.Run(120s);
  CHECK(cluster.CountViews(3, [](const Member* member) { return member != nullptr; }) == 0);
}

}  // namespace
}  // namespace poplarmoor
