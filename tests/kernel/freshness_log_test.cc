#include "kernel/freshness_log.h"

#include <catch2/catch.hpp>

#include "tests/kernel/fixtures.h"

namespace poplarmoor {
namespace {

TEST_CASE(
    "the log position required of a replica covers every commit older than the staleness bound, so "
    "that a read misses none of them") {
  FreshnessLog log;
  log.Record(At(1000), {1, 10});
  log.Record(At(1200), {1, 20});
  log.Record(At(1400), {1, 30});
  CHECK(log.RequiredPosition(At(1000))->position == LogPosition{1, 10});
  CHECK(log.RequiredPosition(At(1001))->position == LogPosition{1, 20});
  CHECK(log.RequiredPosition(At(1400))->position == LogPosition{1, 30});
}

TEST_CASE(
    "if all recorded log positions are older than the staleness bound, none is returned as the "
    "required position, because each of them would admit data that is too old") {
  FreshnessLog log;
  CHECK_FALSE(log.RequiredPosition(At(0)));
  log.Record(At(1000), {1, 10});
  CHECK_FALSE(log.RequiredPosition(At(1001)));
}

TEST_CASE(
    "a read requires the oldest position within its staleness bound, so that lagging replicas can "
    "serve the read instead of the primary") {
  // The primary commits every 50 ms, the replica replays each commit 1.7 s later, and the staleness
  // bound is 2.5 s.
  FreshnessLog log;
  for (int step = 0; step <= 100; ++step) {
    log.Record(At(step * 50), {1, static_cast<uint64_t>(step)});
  }
  const TimePoint now = At(5000);
  const auto required = log.RequiredPosition(now - 2500ms);
  REQUIRE(required);
  const LogPosition replayed{1, (5000 - 1700) / 50};
  CHECK(required->position <= replayed);
}

TEST_CASE(
    "an answer of a former primary that arrives after a promotion does not lower the log position "
    "that reads require") {
  FreshnessLog log;
  log.Record(At(1000), {2, 5});
  log.Record(At(1100), {1, 90});
  CHECK_FALSE(log.RequiredPosition(At(1050)));
  CHECK(log.Highest() == LogPosition{2, 5});
}

TEST_CASE(
    "the freshness log does not grow with the load: of log positions recorded in quick succession, "
    "it keeps only some, with no long gaps between them") {
  FreshnessLog log;
  for (int step = 0; step <= 10000; ++step) {
    log.Record(At(step), {1, static_cast<uint64_t>(step)});
  }
  const auto required = log.RequiredPosition(At(9000));
  REQUIRE(required);
  CHECK(required->sent >= At(9000));
  CHECK(required->sent <= At(9100));
  CHECK(log.Newest()->position == LogPosition{1, 10000});
}

}  // namespace
}  // namespace poplarmoor
