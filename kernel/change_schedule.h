#pragma once

#include <optional>

#include "kernel/time.h"

namespace poplarmoor {

/// Time limits for the calls that bring changes of the object store to all daemons. In a small
/// fleet every daemon watches the store. In a large one a few daemons (watchers) do, and the others
/// (followers) read the changes from them. A watcher that is cut off from the store may not notice
/// for some time, so each of its answers tells how long it has had no answer of the store, and a
/// follower that finds this too long goes to the next watcher and at last to the store.
///
/// This silence is no age of a copy. The age counts from when a call was sent, not from when its
/// answer came: the answer of a waiting watch shows that nothing had changed when the watch began.
/// So a copy that a watch keeps up to date has reached the age of two waits just before the second
/// answer.
class ChangeSchedule {
 public:
  /// Time limit for a peer's answer, in addition to the time that the peer may wait for a change.
  static constexpr Duration kPeerAnswerTimeout = 250ms;

  /// @param bound Time within which a change must be applied by every daemon that reaches the
  ///     store.
  /// @param revocation_bound Time after which a withdrawn API key must not be used, if the objects
  ///     hold such keys; empty: they hold none.
  explicit ChangeSchedule(Duration bound, std::optional<Duration> revocation_bound = std::nullopt);

  /// @returns Time limits for the configuration, of which a copy is not used beyond the bound. Its
  ///     watches are shorter, so that the age of a copy stays below the bound. The parameters are
  ///     those of the constructor.
  static ChangeSchedule ForConfiguration(Duration bound,
                                         std::optional<Duration> revocation_bound = std::nullopt);

  /// @returns Age beyond which a copy lacks changes that must be applied.
  Duration MaxUseAge() const { return this->bound; }

  /// @returns Longest time that a watch call to the store waits for a change if every daemon
  ///     watches the store.
  Duration WatchWait() const;

  /// @returns Longest time that a watch call of a watcher waits, if the other daemons follow it.
  Duration WatcherWait() const;

  /// @returns Longest time that a follower asks a watcher to wait for a change.
  Duration FollowWait() const;

  /// @param silence Time since a peer had an answer of the store, directly or through others.
  /// @returns Whether a follower may rely on the peer.
  bool IsCurrent(Duration silence) const { return silence < this->MaxSilence(); }

  /// @param requested Longest time that the follower asks for.
  /// @param silence Time since this daemon had an answer of the store, directly or through others.
  /// @returns How long a daemon may wait for a change before it answers a follower. The wait ends
  ///     when the silence is too long for the follower, so that the follower soon asks another
  ///     daemon.
  Duration AnswerWait(Duration requested, Duration silence) const;

  /// @returns Whether the objects hold API keys, which limits the age of the copy further.
  bool HasKeys() const { return this->revocation_bound.has_value(); }

  /// @returns Whether the age of a copy limits its use.
  bool LimitsUse() const { return this->limits_use; }

  /// @param verified_age Highest possible age of this daemon's copy; empty: the copy was never
  ///     verified.
  /// @returns Whether the daemon must ask other daemons for a younger copy, because its usual
  ///     source has not confirmed the copy in time.
  bool NeedsYoungerCopy(std::optional<Duration> verified_age) const;

  /// @returns Interval at which a daemon that needs a younger copy asks other daemons.
  Duration QueryInterval() const;

  /// @returns A daemon answers a waiting follower when its own copy has become younger by this
  ///     time.
  Duration VerificationStep() const;

 private:
  Duration MaxSilence() const;
  Duration LimitWait(Duration wait) const;

  Duration bound;
  std::optional<Duration> revocation_bound;
  bool limits_use = false;
};

}  // namespace poplarmoor
