#include "kernel/delivery_delay.h"

#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

// Guards against statements that are run although their caller was answered long ago.
TEST_CASE("a message that was held up on its way is recognised whatever the clocks show") {
  DeliveryDelay delays;
  const TimePoint arrived = TimePoint() + 1h;
  const TimePoint sent = TimePoint() + 5h;  // The sender's clock is ahead.
  CHECK(delays.Record("d1", 7, sent, arrived) == 0ms);
  CHECK(delays.Record("d1", 7, sent + 1s, arrived + 1s + 2ms) == 2ms);
  CHECK(delays.Record("d1", 7, sent + 2s, arrived + 14s) == 12s);
  CHECK(delays.Record("d1", 7, sent + 15s, arrived + 15s - 1ms) == 0ms);
  CHECK(delays.Record("d1", 7, sent + 16s, arrived + 16s) == 1ms);
}

TEST_CASE("the delays of a daemon's new process are not counted on its former clock") {
  DeliveryDelay delays;
  CHECK(delays.Record("d1", 7, TimePoint() + 1h, TimePoint() + 5h) == 0ms);
  CHECK(delays.Record("d1", 8, TimePoint() + 1s, TimePoint() + 6h) == 0ms);
  CHECK(delays.Record("d1", 8, TimePoint() + 2s, TimePoint() + 6h + 3s) == 2s);
  CHECK(delays.Record("d1", 0, TimePoint(), TimePoint() + 6h) == 0ms);
  CHECK(delays.Record("d2", 0, TimePoint(), TimePoint() + 6h) == 0ms);
}

// Guards against refusals of all statements of a daemon after days of drift between two clocks.
TEST_CASE("the drift of two clocks does not count as a delay") {
  DeliveryDelay delays;
  Duration highest{};
  for (int64_t minute = 0; minute < 10000; ++minute) {
    const TimePoint sent = TimePoint() + minute * 60s;
    const TimePoint arrived = sent + minute * 6ms;  // 100 parts in a million.
    highest = std::max(highest, delays.Record("d1", 7, sent, arrived));
  }
  CHECK(highest <= 12ms);
  CHECK(delays.Record("d1", 7, TimePoint() + 1000h, TimePoint() + 1001h) == 0ms);
}

// Guards against an estimate that starts anew with a message that was held up.
TEST_CASE("a held-up message that begins a new interval is recognised") {
  DeliveryDelay delays;
  CHECK(delays.Record("d1", 7, TimePoint() + 1s, TimePoint() + 1s) == 0ms);
  CHECK(delays.Record("d1", 7, TimePoint() + 50s, TimePoint() + 62s) == 12s);
  CHECK(delays.Record("d1", 7, TimePoint() + 63s, TimePoint() + 63s) == 0ms);
}

}  // namespace
}  // namespace poplarmoor
