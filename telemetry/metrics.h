#pragma once

#include <array>
#include <chrono>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "telemetry/metric_table.h"

namespace poplarmoor {

/// Values of a metric's labels, in the order of the label names in MetricRow::labels.
using LabelValues = std::initializer_list<std::string_view>;

/// Counters, gauges and latency summaries of one daemon. Thread-safe: series are distributed by
/// name and labels over shards, each with its own lock. Label values must come from the
/// configuration, never from a caller's input, because each new value creates a series that stays
/// in memory.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Adds to a counter.
  /// @param metric A counter.
  /// @param labels One value for each label of the metric.
  /// @param amount At least 0.
  void Add(Metric metric, LabelValues labels = {}, double amount = 1.0);

  /// Sets a gauge.
  /// @param metric A gauge.
  /// @param labels One value for each label of the metric.
  /// @param value Current value.
  void Set(Metric metric, LabelValues labels, double value);

  /// Adds an observation to a summary.
  /// @param metric A summary.
  /// @param labels One value for each label of the metric.
  /// @param duration Observed time.
  void Observe(Metric metric, LabelValues labels, std::chrono::microseconds duration);

  /// Removes one series, for example when an endpoint is no longer owned.
  /// @param metric Any metric.
  /// @param labels One value for each label of the metric.
  void Remove(Metric metric, LabelValues labels);

  /// Starts a new time window for the quantiles of all summaries; their sums and counts continue.
  /// Until the new window has enough observations, the quantiles of the previous window are
  /// reported. Called each minute, so that quantiles follow the load instead of averaging since the
  /// start.
  void StartWindow();

  /// @param metric A counter or gauge.
  /// @param labels One value for each label of the metric.
  /// @returns The current value; 0 when it was never set.
  double Value(Metric metric, LabelValues labels = {}) const;

  /// @returns All metrics in the Prometheus text format, version 0.0.4.
  std::string ToPrometheus() const;

 private:
  struct Shard;
  struct Series;

  static constexpr size_t kShards = 16;

  // Finds or creates a series. Stores its shard's lock in `lock`; hold it while using the series.
  Series& Find(Metric metric, LabelValues labels, std::unique_lock<std::mutex>* lock);

  std::array<std::unique_ptr<Shard>, kShards> shards;
};

}  // namespace poplarmoor
