#include "kernel/change_schedule.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

#include "kernel/random.h"

namespace poplarmoor {
namespace {

constexpr size_t kWatchers = 3;
// Longest time from a watch call's end to its answer when the store is slow.
constexpr Duration kSlowStore = 240ms;

/// A watcher that is cut off from the store at the moment of a change.
struct CutWatcher {
  Duration confirmed{};  // Time of the store's last answer, 0 or earlier.
  // Time at which the watcher notices that its call has failed; until then it claims to reach the
  // store.
  Duration notices{};
  Duration vanishes{};  // Time from which the watcher does not answer its followers either.
};

/// Simulates a follower that reads from watchers, all cut off from the store at time 0, until it
/// goes to the store itself.
/// @param first_call Time of the first call that may no longer see the change, at most 0.
/// @returns When the follower asks the store.
Duration TimeUntilStoreCall(const ChangeSchedule& schedule,
                            const std::array<CutWatcher, kWatchers>& watchers,
                            Duration first_call) {
  Duration now = first_call;
  size_t source = 0;  // The watcher that answered last time is asked first.
  bool current = true;
  while (current) {
    Duration wait = schedule.FollowWait();
    current = false;
    for (size_t number = 0; number < kWatchers; ++number) {
      const size_t place = (source + number) % kWatchers;
      const CutWatcher& watcher = watchers[place];
      Duration answers = now + schedule.AnswerWait(wait, now - watcher.confirmed);
      answers = std::clamp(watcher.notices, now, answers);
      if (watcher.vanishes <= answers) {
        now += wait + ChangeSchedule::kPeerAnswerTimeout;
      } else {
        now = answers;
        current = now < watcher.notices && schedule.IsCurrent(now - watcher.confirmed);
      }
      if (current) {
        source = place;
        break;
      }
      wait = Duration{};
    }
  }
  return now;
}

// Guards against configuration changes that arrive late at a daemon which reaches the store but
// follows watchers that do not: a watcher may need two calls of several seconds to notice.
TEST_CASE(
    "when all watchers are cut off from the store, a follower reads a change from the store within "
    "the bound, whatever the watchers claim") {
  RandomEngine random(11);
  for (const Duration bound : {2s, 3s, 5s, 6s, 7s, 10s}) {
    const ChangeSchedule schedule(bound);
    Duration latest{};
    for (int round = 0; round < 20000; ++round) {
      std::array<CutWatcher, kWatchers> watchers;
      for (CutWatcher& watcher : watchers) {
        watcher.confirmed = -RandomDuration(&random, schedule.WatcherWait() + kSlowStore);
        watcher.notices = RandomDuration(&random, 2 * bound);
        watcher.vanishes = RandomDuration(&random, 2 * bound);
      }
      const Duration first_call = -RandomDuration(&random, schedule.FollowWait());
      latest = std::max(latest, TimeUntilStoreCall(schedule, watchers, first_call));
    }
    INFO("bound " << ToMillis(bound) << " ms, latest call " << ToMillis(latest) << " ms");
    CHECK(latest <= bound);
  }
}

// Guards against followers that all call the store because they take a healthy watcher for one that
// is cut off.
TEST_CASE("a watcher that the store answers slowly is recent enough for its followers") {
  for (const Duration bound : {2s, 3s, 5s, 6s, 7s, 10s, 20s}) {
    const ChangeSchedule schedule(bound);
    CHECK(schedule.IsCurrent(schedule.WatcherWait() + kSlowStore));
    CHECK(schedule.AnswerWait(schedule.FollowWait(), 0ms) == schedule.FollowWait());
  }
}

// Guards against changes that are missed when the store has dropped its history.
TEST_CASE("two watch calls in a row fit into the bound") {
  for (const Duration bound : {3s, 5s, 10s}) {
    const ChangeSchedule schedule(bound);
    CHECK(schedule.WatchWait() < bound);
    CHECK(2 * schedule.WatcherWait() + kSlowStore < bound);
  }
}

}  // namespace
}  // namespace poplarmoor
