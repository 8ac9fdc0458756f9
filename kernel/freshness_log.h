#pragma once

#include <deque>
#include <optional>

#include "kernel/log_position.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Log position that a group's primary had at a known time.
struct FreshnessEvidence {
  // Time of sending the statement whose answer carried the position. The position covers every
  // commit acknowledged before this time.
  TimePoint sent;
  LogPosition position;
};

/// Log positions that a group's primary had at known times. A replica that has reached one of these
/// positions holds every commit acknowledged before the time of the position.
class FreshnessLog {
 public:
  /// Records a position that an endpoint had while it provably was the primary.
  /// @param sent Time of sending the statement whose answer carried the position. The position
  ///     covers every commit acknowledged before this time.
  /// @param position Position in the answer.
  void Record(TimePoint sent, LogPosition position);

  /// Chooses the position that a replica must have reached to serve a read: the oldest recorded
  /// position that covers `since`, because most replicas have reached it. A newer position would
  /// not make the data fresher, as a replica always returns its latest replayed data.
  /// @param since The position must cover every commit acknowledged before this time.
  /// @returns The position and its time, or nothing when none covers `since`.
  std::optional<FreshnessEvidence> RequiredPosition(TimePoint since) const;

  /// @returns The latest position and its time, or nothing when none is recorded.
  std::optional<FreshnessEvidence> Newest() const;

  /// @returns The highest recorded position; {0, 0} when there is none.
  LogPosition Highest() const { return this->highest_position; }

 private:
  // Minimum time between recorded positions; keeps the log small.
  static constexpr Duration kMinSpacing = 50ms;
  // 100 entries cover 5 s at kMinSpacing, more than the usual staleness bounds.
  static constexpr size_t kMaxEntries = 100;

  std::deque<FreshnessEvidence> entries;  // Ordered by time, oldest position first.
  LogPosition highest_position;
};

}  // namespace poplarmoor
