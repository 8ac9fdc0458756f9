#include "kernel/change_schedule.h"

#include <algorithm>

namespace poplarmoor {

namespace {

// The wait of a watch call as a fraction of the bound. When the store drops its record of past
// changes, a waiting call may miss changes, and only the error of the next call shows this. The
// wait and the calls after it must therefore fit into the bound.
constexpr double kWatchWaitFraction = 0.65;
// Further fraction of that wait for watchers. After a watcher was cut off, its followers need some
// time to notice this and to read the changes elsewhere, which must also fit into the bound.
constexpr double kWatcherWaitFraction = 0.45;
// Time beyond a watcher's wait after which its copy is too old for followers. It covers a store
// that answers slowly (240 ms), but for short bounds it is only a fraction of the bound.
constexpr Duration kAgeSlack = 600ms;
constexpr int kAgeSlackDivisor = 8;
// A follower's call is short so that it soon notices that a watcher is gone.
constexpr Duration kMaxFollowWait = 1s;
constexpr int kFollowWaitDivisor = 5;

Duration Fraction(Duration time, double fraction) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * fraction));
}

}  // namespace

ChangeSchedule::ChangeSchedule(Duration bound) : bound(bound) {}

Duration ChangeSchedule::WatchWait() const {
  return Fraction(this->bound, kWatchWaitFraction);
}

Duration ChangeSchedule::WatcherWait() const {
  return Fraction(this->WatchWait(), kWatcherWaitFraction);
}

Duration ChangeSchedule::FollowWait() const {
  return std::min(this->bound / kFollowWaitDivisor, kMaxFollowWait);
}

Duration ChangeSchedule::MaxAge() const {
  return this->WatcherWait() + std::min(this->bound / kAgeSlackDivisor, kAgeSlack);
}

Duration ChangeSchedule::AnswerWait(Duration requested, Duration age) const {
  return std::clamp(this->MaxAge() - age, Duration{}, std::max(requested, Duration{}));
}

}  // namespace poplarmoor
