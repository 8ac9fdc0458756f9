#pragma once

#include <set>

#include "kernel/random.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Decides which statements are refused (shed) while an endpoint is overloaded. First, the fraction
/// of admitted statements is lowered for the least urgent rank, then for the next rank. Statements
/// of the most urgent rank are always admitted. No fraction falls to 0, so that no rank starves.
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

  /// @returns Fraction of the rank's statements that is admitted now, above 0 and at most 1.
  double AdmittedShare(int rank, TimePoint now);

 private:
  void RaiseLevel(TimePoint now);
  void LowerLevel(TimePoint now);

  // Smoothed statement time above which the endpoint counts as overloaded; 0: no such limit.
  Duration limit{};
  std::set<int> ranks;  // Ranks of all statements that were passed to Admits() so far.
  // Number of shedding steps in force; each step lowers the admitted fraction of one rank's
  // statements.
  int level = 0;
  TimePoint raised_at;
  TimePoint changed_at;
};

}  // namespace poplarmoor
