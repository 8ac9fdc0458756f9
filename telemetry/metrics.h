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

/// Counters, gauges and latency summaries of one daemon. Thread-safe: the series are distributed
/// over shards by their metric and labels, and each shard has a lock of its own. Label values must
/// come from the configuration, never from a caller's input, because each new value creates a
/// series that stays in memory.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Adds to a counter.
  /// @param metric Metric of type kCounter.
  /// @param labels One value for each label of the metric.
  /// @param amount Number to add; at least 0.
  void Add(Metric metric, LabelValues labels = {}, double amount = 1.0);

  /// Sets a gauge.
  /// @param metric Metric of type kGauge.
  /// @param labels One value for each label of the metric.
  /// @param value New value of the gauge.
  void Set(Metric metric, LabelValues labels, double value);

  /// Adds one observed duration to a summary.
  /// @param metric Metric of type kSummary.
  /// @param labels One value for each label of the metric.
  /// @param duration Duration that was observed.
  void Observe(Metric metric, LabelValues labels, std::chrono::microseconds duration);

  /// Removes one series, for example when an endpoint is no longer owned.
  /// @param metric Any metric.
  /// @param labels One value for each label of the metric.
  void Remove(Metric metric, LabelValues labels);

  /// Starts a new time window for the quantiles of all summaries. The sums and counts of the
  /// summaries are not reset. The quantiles of the previous window are reported until the new
  /// window has enough observations. Call this once a minute, so that the quantiles show the recent
  /// load instead of the load since the start of the daemon.
  void StartWindow();

  /// @param metric Metric of type kCounter or kGauge.
  /// @param labels One value for each label of the metric.
  /// @returns The current value of the series; 0 when the series does not exist.
  double Value(Metric metric, LabelValues labels = {}) const;

  /// @returns All metrics in the Prometheus text format, version 0.0.4.
  std::string ToPrometheus() const;

 private:
  struct Shard;
  struct Series;

  static constexpr size_t kShards = 16;

  // Finds or creates a series. Locks the shard that contains the series and moves the lock into
  // `lock`. The caller must keep `lock` locked while it uses the returned series.
  Series& Find(Metric metric, LabelValues labels, std::unique_lock<std::mutex>* lock);

  std::array<std::unique_ptr<Shard>, kShards> shards;
};

}  // namespace poplarmoor
