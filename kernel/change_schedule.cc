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
// The same waits, as fractions of the bound, for a copy that is not used beyond the bound. Two
// waits, and for followers the wait of one more call, leave a fifth of the bound for the answers.
constexpr double kLimitedWatchFraction = 0.4;
constexpr double kLimitedWatcherFraction = 0.2;
// Time beyond a watcher's wait after which it counts as cut off for followers. It covers a store
// that answers slowly (240 ms), but for short bounds it is only a fraction of the bound.
constexpr Duration kAgeSlack = 600ms;
constexpr int kAgeSlackDivisor = 8;
// A follower's call is short so that it soon notices that a watcher is gone.
constexpr Duration kMaxFollowWait = 1s;
constexpr int kFollowWaitDivisor = 5;
// Wait of a watch call as a fraction of the revocation bound. An answer confirms the copy as of the
// time when the call was sent, so a copy is up to two waits old. A daemon that loses all sources
// must go on serving for 0.6 of the bound and stops at 0.975 of it. Two waits leave 0.055 of the
// bound for the answers.
constexpr double kVerifiedWaitFraction = 0.16;
// Age, as a fraction of the revocation bound, from which other daemons are asked; above the 0.375
// that a copy usually reaches.
constexpr double kQueryAgeFraction = 0.4;
// The same as a fraction of the bound, if there is no revocation bound; above the 0.8 that a copy
// usually reaches.
constexpr double kLimitedQueryAgeFraction = 0.85;
// If one daemon of 300 has a young copy and each of the others asks two daemons a round, the copy
// reaches all of them in about 8 rounds. These and the usual age must fit into the bound.
constexpr int kQueryIntervalDivisor = 20;
constexpr int kVerificationStepDivisor = 10;

Duration Fraction(Duration time, double fraction) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * fraction));
}

}  // namespace

ChangeSchedule::ChangeSchedule(Duration bound, std::optional<Duration> revocation_bound)
    : bound(bound), revocation_bound(revocation_bound) {}

ChangeSchedule ChangeSchedule::ForConfiguration(Duration bound,
                                                std::optional<Duration> revocation_bound) {
  ChangeSchedule schedule(bound, revocation_bound);
  schedule.limits_use = true;
  return schedule;
}

Duration ChangeSchedule::LimitWait(Duration wait) const {
  return this->revocation_bound
             ? std::min(wait, Fraction(*this->revocation_bound, kVerifiedWaitFraction))
             : wait;
}

Duration ChangeSchedule::WatchWait() const {
  return this->LimitWait(
      Fraction(this->bound, this->limits_use ? kLimitedWatchFraction : kWatchWaitFraction));
}

Duration ChangeSchedule::WatcherWait() const {
  const double fraction =
      this->limits_use ? kLimitedWatcherFraction : kWatchWaitFraction * kWatcherWaitFraction;
  return this->LimitWait(Fraction(this->bound, fraction));
}

Duration ChangeSchedule::FollowWait() const {
  return std::min(this->bound / kFollowWaitDivisor, kMaxFollowWait);
}

Duration ChangeSchedule::MaxSilence() const {
  return this->WatcherWait() + std::min(this->bound / kAgeSlackDivisor, kAgeSlack);
}

Duration ChangeSchedule::AnswerWait(Duration requested, Duration silence) const {
  return std::clamp(this->MaxSilence() - silence, Duration{}, std::max(requested, Duration{}));
}

bool ChangeSchedule::NeedsYoungerCopy(std::optional<Duration> verified_age) const {
  if (!this->limits_use) {
    return false;
  }
  const Duration limit = this->revocation_bound
                             ? Fraction(*this->revocation_bound, kQueryAgeFraction)
                             : Fraction(this->bound, kLimitedQueryAgeFraction);
  return !verified_age || *verified_age >= limit;
}

Duration ChangeSchedule::QueryInterval() const {
  return this->revocation_bound.value_or(this->bound) / kQueryIntervalDivisor;
}

Duration ChangeSchedule::VerificationStep() const {
  return this->revocation_bound.value_or(this->bound) / kVerificationStepDivisor;
}

}  // namespace poplarmoor
