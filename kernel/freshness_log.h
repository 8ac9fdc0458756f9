#pragma once

#include <deque>
#include <optional>

#include "kernel/log_position.h"
#include "kernel/time.h"

namespace poplarmoor {

/// A position that a group's primary had at a known time.
struct FreshnessEvidence {
  TimePoint sent;  // Every commit acknowledged before is within the position.
  LogPosition position;
};

/// Positions that a group's primary had at known times. A replica that holds such a position lacks
/// no commit acknowledged before that time.
class FreshnessLog {
 public:
  /// Records a position that the endpoint had while it provably was the primary.
  /// @param sent When the statement was sent whose answer carried the position; every commit
  ///     acknowledged before is within the position.
  /// @param position Position of the answer.
  void Record(TimePoint sent, LogPosition position);

  /// Chooses the position to demand from a replica: the oldest one that covers `since`, because it
  /// passes on the most replicas. What a replica returns is as fresh as its log, whatever is
  /// demanded.
  /// @param since Commits acknowledged before this time must be covered.
  /// @returns The evidence, or nothing when none covers `since`.
  std::optional<FreshnessEvidence> Demand(TimePoint since) const;

  /// @returns The newest evidence.
  std::optional<FreshnessEvidence> Newest() const;

  /// @returns The highest position recorded; {0, 0} without one.
  LogPosition Highest() const { return this->highest_position; }

 private:
  // Positions are kept at this distance, so that the log stays small.
  static constexpr Duration kSpacing = 50ms;
  static constexpr size_t kMaxEntries = 100;  // 5 s at the spacing: above the usual bounds.

  std::deque<FreshnessEvidence> entries;  // By time.
  LogPosition highest_position;
};

}  // namespace poplarmoor
