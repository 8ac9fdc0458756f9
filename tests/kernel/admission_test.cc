#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "kernel/admission/admission_queue.h"
#include "tests/kernel/fixtures.h"

namespace poplarmoor {
namespace {

AdmissionItem MakeItem(uint64_t id, Rank rank, const std::string& site, int64_t deadline) {
  return {id, rank, site, At(deadline)};
}

/// @returns A queue with one slot and a measured service time of 10 ms.
std::unique_ptr<AdmissionQueue> MakeQueue(const std::string& policy, double background_floor) {
  auto queue = Registry<AdmissionQueue>::Create(policy);
  AdmissionSettings settings;
  settings.ranks[2].floor_share = background_floor;
  queue->Configure(settings);
  queue->SetSlots(1);
  queue->Offer(MakeItem(1, Rank::kStandard, "s", 1000), At(0));
  queue->Next(At(0));
  queue->Finished(Rank::kStandard, 10ms);
  return queue;
}

/// Serves `rounds` items, one after the other, while five items of each rank wait.
/// @returns The number of served items by rank.
std::array<int, kRankCount> Serve(AdmissionQueue* queue, int rounds) {
  std::array<int, kRankCount> served{};
  uint64_t id = 100;
  for (int i = 0; i < rounds; ++i) {
    for (Rank rank : {Rank::kUrgent, Rank::kStandard, Rank::kBackground}) {
      while (queue->Waiting(rank) < 5) {
        REQUIRE(queue->Offer(MakeItem(++id, rank, "s", 1'000'000), At(i * 10)).queued);
      }
    }
    ++served[static_cast<size_t>(queue->Next(At(i * 10))->rank)];
    queue->Finished(Rank::kStandard, 10ms);
  }
  return served;
}

TEST_CASE(
    "when urgent work floods an endpoint, each less urgent rank gets only the share of the slots "
    "that is guaranteed to this rank") {
  const auto floors = Serve(MakeQueue("floors", 0.1).get(), 1000);
  CHECK(floors[2] >= 95);
  CHECK(floors[2] <= 105);
  // The most urgent rank gets all slot time that is not guaranteed to another rank.
  CHECK(floors[1] == 0);
  CHECK(Serve(MakeQueue("strict_priority", 0.1).get(), 1000)[0] == 1000);
  for (int served : Serve(MakeQueue("fcfs", 0.1).get(), 999)) {
    CHECK(std::abs(served - 333) <= 5);  // Tolerance: up to five items of each rank wait.
  }
}

TEST_CASE(
    "a flood of requests from one site does not delay another site's requests of the same rank") {
  const auto queue = MakeQueue("floors", 0.0);
  for (uint64_t id = 10; id < 60; ++id) {
    REQUIRE(queue->Offer(MakeItem(id, Rank::kStandard, "biella", 1'000'000), At(0)).queued);
  }
  queue->Offer(MakeItem(60, Rank::kStandard, "treviso", 1'000'000), At(0));
  queue->Offer(MakeItem(61, Rank::kStandard, "treviso", 1'000'000), At(0));
  std::string order;
  for (int i = 0; i < 5; ++i) {
    order += queue->Next(At(0))->site[0];
    queue->Finished(Rank::kStandard, 10ms);
  }
  CHECK(order == "btbtb");
}

TEST_CASE("the slots of a rank are divided among the sites in proportion to the site weights") {
  const auto queue = MakeQueue("floors", 0.0);
  AdmissionSettings settings;
  settings.site_weights = {{"a", 3.0}, {"b", 1.0}};
  queue->Configure(settings);
  for (uint64_t id = 10; id < 210; ++id) {
    queue->Offer(MakeItem(id, Rank::kStandard, id % 2 ? "a" : "b", 1'000'000), At(0));
  }
  int of_a = 0;
  for (int i = 0; i < 80; ++i) {
    of_a += queue->Next(At(0))->site == "a" ? 1 : 0;
    queue->Finished(Rank::kStandard, 10ms);
  }
  CHECK(of_a == 60);
}

TEST_CASE(
    "the admission queue refuses a request immediately if the request cannot be served before its "
    "deadline") {
  const auto queue = MakeQueue("floors", 0.0);
  queue->Offer(MakeItem(10, Rank::kStandard, "s", 1000), At(0));
  queue->Next(At(0));
  for (uint64_t id = 11; id < 16; ++id) {
    REQUIRE(queue->Offer(MakeItem(id, Rank::kStandard, "s", 1000), At(0)).queued);
  }
  const AdmissionDecision refused = queue->Offer(MakeItem(20, Rank::kStandard, "s", 50), At(0));
  CHECK_FALSE(refused.queued);
  CHECK(refused.reason == Reason::kOverloaded);
  CHECK(refused.retry_after >= 10ms);
  CHECK(queue->Offer(MakeItem(21, Rank::kUrgent, "s", 50), At(0)).queued);
  CHECK(queue->Offer(MakeItem(22, Rank::kStandard, "s", -1), At(0)).reason ==
        Reason::kDeadlineExceeded);
}

TEST_CASE(
    "when the queue of one rank and site is full, requests of other sites are still admitted") {
  const auto queue = MakeQueue("floors", 0.0);
  for (uint64_t id = 10; id < 10 + 256; ++id) {
    REQUIRE(queue->Offer(MakeItem(id, Rank::kBackground, "s", 1'000'000), At(0)).queued);
  }
  CHECK_FALSE(queue->Offer(MakeItem(1000, Rank::kBackground, "s", 1'000'000), At(0)).queued);
  CHECK(queue->Offer(MakeItem(1001, Rank::kBackground, "t", 1'000'000), At(0)).queued);
}

TEST_CASE("an expired or cancelled request never takes a slot") {
  const auto queue = MakeQueue("floors", 0.0);
  queue->Offer(MakeItem(10, Rank::kStandard, "s", 30), At(0));
  queue->Offer(MakeItem(11, Rank::kStandard, "s", 500), At(0));
  queue->Offer(MakeItem(12, Rank::kStandard, "s", 500), At(0));
  CHECK(queue->Cancel(11));
  CHECK_FALSE(queue->Cancel(11));
  CHECK(queue->NextExpiry() == At(30));
  CHECK(queue->Next(At(40))->id == 12);
  const auto expired = queue->TakeExpired(At(40));
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].id == 10);
  CHECK(queue->TakeExpired(At(40)).empty());
}

/// Request counts of one rank in a simulated overload.
struct FloodCount {
  int offered = 0;
  int admitted = 0;
  int served = 0;
  int expired = 0;
};

/// Simulates for 20 s an endpoint with three slots. Each statement takes 10 ms, so the endpoint can
/// run 300 statements per second. Per second, 150 urgent, 60 standard and `background` background
/// statements arrive. The deadline of each statement is 500 ms after its arrival.
std::array<FloodCount, kRankCount> SimulateFlood(const std::string& policy, int background) {
  const auto queue = Registry<AdmissionQueue>::Create(policy);
  AdmissionSettings settings;
  settings.ranks[1].floor_share = 0.2;
  settings.ranks[2].floor_share = 0.1;
  queue->Configure(settings);
  queue->SetSlots(3);
  std::array<FloodCount, kRankCount> counts{};
  const std::array<int, kRankCount> rates{150, 60, background};
  std::array<int64_t, kRankCount> due{};
  // Ranks of the running statements, by the time of their answer in units of 0.1 ms.
  std::multimap<int64_t, Rank> running;
  uint64_t id = 0;
  for (int64_t tick = 0; tick < 200'000; ++tick) {
    const TimePoint now(Duration(tick * 100));
    while (!running.empty() && running.begin()->first <= tick) {
      queue->Finished(running.begin()->second, 10ms);
      running.erase(running.begin());
    }
    for (size_t rank = 0; rank < kRankCount; ++rank) {
      for (due[rank] += rates[rank]; due[rank] >= 10'000; due[rank] -= 10'000) {
        ++counts[rank].offered;
        const AdmissionItem item{++id, static_cast<Rank>(rank), "s", now + 500ms};
        counts[rank].admitted += queue->Offer(item, now).queued ? 1 : 0;
      }
    }
    while (const auto item = queue->Next(now)) {
      ++counts[static_cast<size_t>(item->rank)].served;
      running.emplace(tick + 100, item->rank);
    }
    for (const AdmissionItem& item : queue->TakeExpired(now)) {
      ++counts[static_cast<size_t>(item.rank)].expired;
    }
  }
  return counts;
}

TEST_CASE(
    "when background work floods an endpoint, requests of other ranks are served, and admitted "
    "requests of any rank seldom expire") {
  const auto counts = SimulateFlood("floors", 900);
  CHECK(counts[0].served >= counts[0].offered * 99 / 100);
  CHECK(counts[1].served >= counts[1].offered * 99 / 100);
  // The simulation lasts 20 s. In each second, the endpoint can run 300 statements, of which the
  // 150 urgent and 60 standard ones leave 90 to background statements. The check requires 80.
  CHECK(counts[2].served >= 20 * 80);
  CHECK(counts[2].expired <= counts[2].admitted / 50);
  CHECK(counts[0].served + counts[1].served + counts[2].served >= 20 * 290);
  const auto baseline = SimulateFlood("fcfs", 900);
  CHECK(baseline[0].served < baseline[0].offered / 2);
}

TEST_CASE(
    "the admission queue never runs more items than it has slots and returns each item exactly "
    "once") {
  for (const std::string& policy : Registry<AdmissionQueue>::Names()) {
    CHECK(rc::check(policy, [&](const std::vector<uint32_t>& steps) {
      const auto queue = Registry<AdmissionQueue>::Create(policy);
      queue->SetSlots(2);
      std::map<uint64_t, Rank> waiting;
      std::vector<Rank> running;
      int64_t now = 0;
      const auto take = [&](uint64_t id) { RC_ASSERT(waiting.erase(id) == 1); };
      for (uint32_t step : steps) {
        now += step % 5;
        const auto rank = static_cast<Rank>(step / 8 % 3);
        const uint64_t id = waiting.empty() ? 1 : waiting.rbegin()->first + 1;
        switch (step % 8) {
          case 0:
          case 1:
          case 2:
            if (queue->Offer(MakeItem(id, rank, step % 3 ? "a" : "b", now + step % 64), At(now))
                    .queued) {
              waiting.emplace(id, rank);
            }
            break;
          case 3:
          case 4:
            if (const auto item = queue->Next(At(now))) {
              RC_ASSERT(item->deadline > At(now));
              take(item->id);
              running.push_back(item->rank);
            }
            break;
          case 5:
            if (!running.empty()) {
              queue->Finished(running.back(), Duration(step % 20'000));
              running.pop_back();
            }
            break;
          case 6:
            RC_ASSERT(queue->Cancel(step % 16) == (waiting.erase(step % 16) == 1));
            break;
          default:
            break;
        }
        for (const AdmissionItem& item : queue->TakeExpired(At(now))) {
          RC_ASSERT(item.deadline <= At(now));
          take(item.id);
        }
        RC_ASSERT(queue->Running() == static_cast<int>(running.size()));
        RC_ASSERT(running.size() <= 2);
        size_t total = 0;
        for (Rank each : {Rank::kUrgent, Rank::kStandard, Rank::kBackground}) {
          total += queue->Waiting(each);
        }
        RC_ASSERT(total == waiting.size());
      }
    }));
  }
}

}  // namespace
}  // namespace poplarmoor
