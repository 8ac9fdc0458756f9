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

VirtualClusterOptions MakeOptions(size_t members, size_t domains, uint64_t seed = 1) {
  VirtualClusterOptions options;
  options.members = members;
  options.failure_domains = domains;
  options.seed = seed;
  return options;
}

/// Runs the cluster for `duration`. Every 100 ms, counts the cases in which the membership table of
/// a running daemon lists a running daemon as dead or does not list it.
/// @returns Number of all these cases.
size_t CountFalseDeaths(VirtualCluster* cluster, Duration duration) {
  size_t false_deaths = 0;
  for (Duration passed{0}; passed < duration; passed += 100ms) {
    cluster->Run(100ms);
    for (size_t i = 0; i < cluster->size(); ++i) {
      if (cluster->GetNode(i).running) {
        false_deaths += cluster->CountViews(i, IsDead);
      }
    }
  }
  return false_deaths;
}

TEST_CASE("every daemon detects a dead daemon, so that its endpoints get a new owner") {
  for (const size_t members : {8, 60, 200}) {
    VirtualCluster cluster(MakeOptions(members, members < 10 ? 3 : 13));
    cluster.Run(5s);
    cluster.Kill(2);
    const Duration elapsed =
        cluster.RunUntil([&] { return cluster.CountViews(2, IsLive) == 0; }, 30s);
    INFO("members " << members << ", detected after ms " << ToMillis(elapsed));
    CHECK(elapsed >= 3s);  // A daemon suspected to be dead has time to refute this.
    CHECK(elapsed <= 12s);
  }
}

TEST_CASE("no live daemon is declared dead while messages are lost, so that owners do not change") {
  VirtualClusterOptions options = MakeOptions(60, 3);
  options.loss = 0.05;
  VirtualCluster cluster(options);
  CHECK(CountFalseDeaths(&cluster, 120s) == 0);
}

TEST_CASE(
    "a daemon paused for less than the suspicion period is not declared dead by others, and "
    "declares no other daemon dead when it resumes") {
  VirtualCluster cluster(MakeOptions(30, 3));
  cluster.Run(5s);
  size_t false_deaths = 0;
  for (size_t i = 0; i < 10; ++i) {
    cluster.SetPaused(i, true);
    false_deaths += CountFalseDeaths(&cluster, 2500ms);
    cluster.SetPaused(i, false);
    false_deaths += CountFalseDeaths(&cluster, 5s);
  }
  CHECK(false_deaths == 0);
}

TEST_CASE(
    "a daemon declared dead while paused refutes this when it resumes, so that it can own "
    "endpoints again") {
  VirtualCluster cluster(MakeOptions(30, 3));
  cluster.Run(5s);
  cluster.SetPaused(4, true);
  cluster.Run(20s);
  CHECK(cluster.CountViews(4, IsDead) == 29);
  cluster.SetPaused(4, false);
  CHECK(cluster.RunUntil([&] { return cluster.AllAgree(); }, 20s) < 20s);
}

TEST_CASE("if all messages from one daemon to another are lost, neither of them is declared dead") {
  VirtualCluster cluster(MakeOptions(24, 3));
  cluster.SetPartition([](size_t from, size_t to) { return from == 0 && to == 3; });
  CHECK(CountFalseDeaths(&cluster, 60s) == 0);
}

TEST_CASE(
    "a daemon that can send but not receive messages is declared dead, and no other daemon is "
    "declared dead because of its reports") {
  VirtualCluster cluster(MakeOptions(24, 3));
  cluster.Run(5s);
  cluster.SetPartition([](size_t, size_t to) { return to == 0; });
  size_t false_deaths = 0;
  for (int i = 0; i < 40; ++i) {
    cluster.Run(1s);
    for (size_t subject = 1; subject < cluster.size(); ++subject) {
      for (size_t viewer = 1; viewer < cluster.size(); ++viewer) {
        false_deaths += IsDead(cluster.GetNode(viewer).membership->Table().Find(
                            cluster.GetNode(subject).self.daemon))
                            ? 1
                            : 0;
      }
    }
  }
  CHECK(false_deaths == 0);
  CHECK(cluster.CountViews(0, IsDead) == 23);
}

TEST_CASE(
    "the daemons of a partitioned failure domain list each other as live and rejoin the other "
    "daemons after the partition, so that all daemons assign the same owners again") {
  VirtualCluster cluster(MakeOptions(39, 3));
  const auto in_domain = [](size_t index) { return index % 3 == 0; };
  cluster.Run(5s);
  cluster.SetPartition([&](size_t from, size_t to) { return in_domain(from) != in_domain(to); });
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

  cluster.SetPartition(nullptr);
  size_t dead_inside_after_heal = 0;
  const Duration healed = cluster.RunUntil(
      [&] {
        for (size_t subject = 0; subject < cluster.size(); subject += 3) {
          for (size_t viewer = 0; viewer < cluster.size(); viewer += 3) {
            dead_inside_after_heal += IsDead(cluster.GetNode(viewer).membership->Table().Find(
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
  CHECK(dead_inside_after_heal == 0);
}

TEST_CASE(
    "all daemons find each other through the seed addresses after a simultaneous restart, as when "
    "all VMs are replaced") {
  VirtualClusterOptions options = MakeOptions(40, 3);
  options.start_with_full_table = false;
  VirtualCluster cluster(options);
  CHECK(cluster.RunUntil([&] { return cluster.AllAgree(); }, 60s) < 30s);
  for (size_t i = 0; i < cluster.size(); ++i) {
    cluster.Restart(i);
  }
  CHECK(cluster.RunUntil([&] { return cluster.AllAgree(); }, 60s) < 30s);
}

TEST_CASE(
    "a daemon restarted under its old name replaces its earlier entry in the membership table") {
  VirtualCluster cluster(MakeOptions(20, 3));
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

TEST_CASE("a restarted daemon replaces its earlier entry even if its wall clock was set back") {
  VirtualCluster cluster(MakeOptions(9, 3));
  cluster.Restart(5);
  cluster.Run(10s);
  cluster.GetNode(5).self.incarnation = 1;  // Restart() then uses incarnation 1001 again.
  cluster.Kill(5);
  cluster.Run(20s);
  cluster.Restart(5);
  CHECK(cluster.RunUntil([&] { return cluster.AllAgree(); }, 30s) < 30s);
}

TEST_CASE(
    "a daemon that announces its stop is listed as leaving and then as dead, without being "
    "suspected to be dead before") {
  VirtualCluster cluster(MakeOptions(20, 3));
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

TEST_CASE(
    "dead daemons are removed from the membership table, so that the table does not grow when "
    "VMs are replaced") {
  VirtualClusterOptions options = MakeOptions(9, 3);
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
