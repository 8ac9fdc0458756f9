#pragma once

#include <deque>
#include <optional>

#include "kernel/log_position.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Positions that a group's primary had at known times. A replica that holds such a position lacks
/// no commit acknowledged before that time.
class FreshnessLog {
 public:
  /// Records a position that the endpoint had while it provably was the primary.
  /// @param sent When the statement was sent whose answer carried the position; every commit
  ///     acknowledged before is within the position.
  /// @param position Position of the answer.
  void Record(TimePoint sent, LogPosition position);

  /// Chooses the position to demand from a replica. An older one passes on more replicas.
  /// @param since Commits acknowledged before this time must be covered.
  /// @param preferred Age at which replicas usually hold a position; newer evidence is used only
  ///     when there is none of this age.
  /// @param now Current time.
  /// @returns A position, or nothing without evidence that covers `since`.
  std::optional<LogPosition> Demand(TimePoint since, Duration preferred, TimePoint now) const;

  /// @returns Time of the newest evidence.
  std::optional<TimePoint> newest() const;

  /// @returns The highest position recorded; {0, 0} without one.
  LogPosition highest() const { return this->highest_position; }

 private:
  struct Evidence {
    TimePoint sent;
    LogPosition position;
  };

  // Positions are kept at this distance, so that the log stays small.
  static constexpr Duration kSpacing = 50ms;
  static constexpr size_t kMaxEntries = 100;  // 5 s at the spacing: above the usual bounds.

  std::deque<Evidence> entries;  // By time.
  LogPosition highest_position;
};

}  // namespace poplarmoor
