#include "kernel/freshness_log.h"

#include <catch2/catch.hpp>

#include "kernel/random.h"
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

/// Simulates one daemon of a large fleet that gets few reads of a service.
/// @param bound Staleness bound of the reads.
/// @param exchange Whether the daemon also gets positions from other daemons, three times a second
///     and up to 550 ms old.
/// @param reachable_until Time until which the primary and the other daemons are reachable.
/// @returns Share of the reads after `from` that a replica may serve.
double ShareWithPosition(Duration bound,
                         bool exchange,
                         TimePoint reachable_until,
                         TimePoint from,
                         TimePoint until) {
  constexpr int kReadsPerMinute = 16;
  RandomEngine random(3);
  FreshnessLog log;
  int reads = 0;
  int served = 0;
  for (TimePoint now = TimePoint(100s); now < until; now += 1ms) {
    const bool reachable = now < reachable_until;
    const uint64_t index = static_cast<uint64_t>(now.time_since_epoch() / 10ms);
    if (exchange && reachable && RandomBelow(&random, 333) == 0) {
      const Duration age = RandomDuration(&random, 550ms);
      log.Record(now - age, {1, index - static_cast<uint64_t>(age / 10ms)});
    }
    if (RandomBelow(&random, 60000) >= kReadsPerMinute) {
      continue;
    }
    const bool has_position = log.RequiredPosition(now - bound).has_value();
    if (now >= from) {
      ++reads;
      served += has_position ? 1 : 0;
    }
    // A read without a recent position runs at the primary, whose answer has its position.
    if (!has_position && reachable) {
      log.Record(now, {1, index});
    }
  }
  return reads == 0 ? 0 : static_cast<double>(served) / reads;
}

// Guards against a large fleet whose reads all run at the primaries because each daemon runs a
// statement of a service only every few seconds.
TEST_CASE("sparse reads run at replicas if other daemons tell the primary's log positions") {
  const TimePoint start(101s);
  const TimePoint end(1100s);
  CHECK(ShareWithPosition(1500ms, false, end, start, end) < 0.5);
  CHECK(ShareWithPosition(1500ms, true, end, start, end) > 0.95);
}

// Guards against reads that fail while a primary is replaced although a replica could serve them.
TEST_CASE("sparse reads within their bound are served in the first second without a primary") {
  int served = 0;
  int served_alone = 0;
  for (int second = 0; second < 200; ++second) {
    const TimePoint lost = TimePoint(110s) + second * 1s;
    served += ShareWithPosition(2500ms, true, lost, lost, lost + 1500ms) > 0.99 ? 1 : 0;
    served_alone += ShareWithPosition(2500ms, false, lost, lost, lost + 1500ms) > 0.99 ? 1 : 0;
  }
  CHECK(served > 2 * served_alone);
}

}  // namespace
}  // namespace poplarmoor
