#pragma once

#include <set>

#include "kernel/random.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Decides which statements are refused (shed) while an endpoint is overloaded. The admitted share
/// of the least urgent rank is lowered first, then that of the next rank; the most urgent rank is
/// always admitted. No rank's share falls to 0, so that no rank starves.
class LoadShedder {
 public:
  /// @param max_time Smoothed time of a statement, queueing included, above which the endpoint
  ///     counts as overloaded; with 0, only refusals by the endpoint count as overload.
  void SetTimeLimit(Duration max_time) { this->limit = max_time; }

  /// Records the smoothed time of the endpoint's statements, queueing included.
  void RecordStatementTime(Duration smoothed_time, TimePoint now);

  /// Records that the endpoint refused a statement because its queue is full.
  void RecordRefusal(TimePoint now);

  /// @param rank Priority of the statement; 0 is the most urgent.
  /// @param random Random number generator.
  /// @returns Whether a statement of the rank may be sent.
  bool Admits(int rank, TimePoint now, RandomEngine* random);

  /// @returns Share of the rank's statements that is admitted now, greater than 0 and at most 1.
  double AdmittedShare(int rank, TimePoint now);

 private:
  void RaiseLevel(TimePoint now);
  void LowerLevel(TimePoint now);

  // Smoothed statement time above which the endpoint counts as overloaded; 0: no such limit.
  Duration limit{};
  std::set<int> ranks;  // Ranks of all statements that were passed to Admits() so far.
  int level = 0;  // Number of shedding steps in force; each lowers the admitted share of one rank.
  TimePoint raised_at;
  TimePoint changed_at;
};

}  // namespace poplarmoor
