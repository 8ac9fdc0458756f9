#pragma once

#include <optional>

#include "kernel/time.h"

namespace poplarmoor {

/// Number of statements that an owner runs at once at one endpoint. It starts at the configured
/// slots, falls when latency rises above its baseline or the endpoint refuses with no_slot, and
/// rises again, at most to the owner's connections.
class ConcurrencyLimit {
 public:
  /// @param slots Configured slots of the endpoint, at least 1.
  /// @param max_connections Connections that the owner may hold to the endpoint.
  ConcurrencyLimit(int slots, int max_connections);

  /// Applies changed settings. When the slots change, the limit restarts at their new number.
  /// @param slots Configured slots.
  /// @param max_connections Connections that the owner may hold.
  void Configure(int slots, int max_connections);

  /// @returns The current limit, from 1 to the owner's connections.
  int Limit() const { return this->limit; }

  /// Records a finished statement.
  /// @param latency Time between sending and the answer.
  /// @param running Statements that ran at that moment, including this one.
  /// @param now Current time.
  void OnFinished(Duration latency, int running, TimePoint now);

  /// Records a no_slot refusal: another owner uses the endpoint, or the limit is above its slots.
  /// @param now Current time.
  void OnNoSlot(TimePoint now);

 private:
  void CloseWindow(TimePoint now);

  int slots = 0;  // 0 before the first Configure().
  int max_connections = 1;
  int limit = 1;
  int ceiling = 1;  // Limit refused with no_slot; not reached before ceiling_until.
  TimePoint ceiling_until;
  Duration ceiling_time{0};             // Doubles with each refusal above the slots.
  std::optional<TimePoint> refused_at;  // Last counted refusal; those of one burst count once.
  double baseline = 0.0;                // Lowest mean latency of a window, microseconds; 0: none.
  double mean_before_shrink = 0.0;      // Mean of the last window if it shrank the limit; else 0.
  double window_sum = 0.0;              // Microseconds.
  int window_count = 0;
  int window_max_running = 0;
  TimePoint window_start;
};

}  // namespace poplarmoor
