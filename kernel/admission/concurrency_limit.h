#pragma once

#include <optional>

#include "kernel/time.h"

namespace poplarmoor {

/// Limits the number of statements that an endpoint's owner runs there at the same time. The limit
/// starts at the configured slots, falls when the latency rises above its value without overload
/// (the baseline) or the endpoint refuses a statement with no_slot, and rises again while the
/// latency is low, at most to the number of connections that the owner may hold.
class ConcurrencyLimit {
 public:
  /// @param slots Configured slots of the endpoint (number of statements that it runs at the same
  ///     time), at least 1.
  /// @param max_connections Connections that the owner may hold to the endpoint.
  ConcurrencyLimit(int slots, int max_connections);

  /// Applies changed settings. When the number of slots changes, Limit() restarts at the new
  /// number.
  /// @param slots Configured slots of the endpoint.
  /// @param max_connections Connections that the owner may hold to the endpoint.
  void Configure(int slots, int max_connections);

  /// @returns The number of statements that the owner may run now, from 1 to max_connections.
  int Limit() const { return this->limit; }

  /// Records a finished statement.
  /// @param latency Time from sending the statement to receiving its answer.
  /// @param running Statements that were running when the answer arrived, including this one.
  /// @param now Current time.
  void OnFinished(Duration latency, int running, TimePoint now);

  /// Records that the endpoint refused a statement with no_slot: the limit exceeds the number of
  /// slots, or the endpoint has two owners for a short time and the other one uses some slots.
  /// @param now Current time.
  void OnNoSlot(TimePoint now);

 private:
  void CloseWindow(TimePoint now);

  int slots = 0;  // Configured slots of the endpoint; 0 before the first Configure().
  int max_connections = 1;
  int limit = 1;
  // Value of `limit` at the last no_slot refusal. Until ceiling_until, `limit` stays below
  // `ceiling`.
  int ceiling = 1;
  TimePoint ceiling_until;
  // Time from a no_slot refusal to ceiling_until; doubles with each refusal while the limit is
  // above the configured slots.
  Duration ceiling_time{0};
  // Time of the last no_slot refusal that lowered the limit; a burst of refusals lowers it once.
  std::optional<TimePoint> refused_at;
  // Latency without overload, microseconds: the lowest mean of recent measuring windows; 0: none.
  double baseline = 0.0;
  // Mean latency, microseconds, of the last measuring window if it lowered the limit; 0 otherwise.
  double mean_before_shrink = 0.0;
  double window_sum = 0.0;  // Sum of the latencies in the current measuring window, microseconds.
  int window_count = 0;
  int window_max_running = 0;
  TimePoint window_start;
};

}  // namespace poplarmoor
