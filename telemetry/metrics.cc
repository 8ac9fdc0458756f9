#include "telemetry/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cassert>
#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <unordered_map>
#include <vector>

namespace poplarmoor {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 4> kQuantiles{0.5, 0.9, 0.99, 0.999};
// Smallest number of observations from which quantiles are reported. The P-square algorithm
// estimates n quantiles with 2 * n + 3 markers and needs one observation for each marker.
constexpr size_t kMinObservations = 2 * kQuantiles.size() + 3;

using Window = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::extended_p_square>>;

Window MakeWindow() {
  return Window(accumulators::tag::extended_p_square::probabilities = kQuantiles);
}

constexpr std::array<std::string_view, 3> kTypeNames{"counter", "gauge", "summary"};

const MetricRow& RowOf(Metric metric) {
  const MetricRow& row = kMetricTable[static_cast<size_t>(metric)];
  assert(row.metric == metric && "the metric table is not in the order of the enum");
  return row;
}

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char letter : value) {
    if (letter == '\\' || letter == '"') {
      escaped += '\\';
      escaped += letter;
    } else if (letter == '\n') {
      escaped += "\\n";
    } else {
      escaped += letter;
    }
  }
  return escaped;
}

// Formats labels as name="value" pairs, without the enclosing braces.
std::string FormatLabels(const MetricRow& row, LabelValues labels) {
  std::string text;
  std::string_view names = row.labels;
  for (const std::string_view value : labels) {
    assert(!names.empty() && "more label values than the metric table has labels");
    const size_t comma = names.find(',');
    text += text.empty() ? "" : ",";
    text += std::string(names.substr(0, comma)) + "=\"" + EscapeLabel(value) + "\"";
    names = comma == std::string_view::npos ? std::string_view() : names.substr(comma + 1);
  }
  assert(names.empty() && "fewer label values than the metric table has labels");
  return text;
}

std::string FormatNumber(double number) {
  std::ostringstream text;
  text.precision(12);
  text << number;
  return text.str();
}

std::string AddBraces(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

std::string FormatQuantile(const std::string& name,
                           const std::string& labels,
                           double quantile,
                           double value) {
  std::ostringstream line;
  line << name << "{" << labels << (labels.empty() ? "" : ",") << "quantile=\"" << quantile
       << "\"} " << FormatNumber(value) << "\n";
  return line.str();
}

}  // namespace

struct Metrics::Series {
  // Value of a counter or gauge. For a summary, sum of its observations in seconds.
  double value = 0.0;
  size_t count = 0;  // Number of a summary's observations since the start.
  std::optional<Window> current;
  std::optional<Window> previous;

  std::string Format(const MetricRow& row, const std::string& labels) const {
    const std::string name(row.name);
    if (row.type != MetricType::kSummary) {
      return name + AddBraces(labels) + " " + FormatNumber(this->value) + "\n";
    }
    std::string text;
    for (const auto* window : {&this->current, &this->previous}) {
      if (window->has_value() && accumulators::count(**window) >= kMinObservations) {
        const auto estimates = accumulators::extended_p_square(**window);
        for (size_t i = 0; i < kQuantiles.size(); ++i) {
          text += FormatQuantile(name, labels, kQuantiles[i], estimates[i]);
        }
        break;
      }
    }
    text += name + "_sum" + AddBraces(labels) + " " + FormatNumber(this->value) + "\n";
    return text + name + "_count" + AddBraces(labels) + " " + std::to_string(this->count) + "\n";
  }
};

struct Metrics::Shard {
  mutable std::mutex mutex;
  // Series of this shard: indexed by metric, then by the text of the labels.
  std::array<std::unordered_map<std::string, Series>, kMetricCount> series;
};

Metrics::Metrics() {
  for (auto& shard : this->shards) {
    shard = std::make_unique<Shard>();
  }
}

Metrics::~Metrics() = default;

Metrics::Series& Metrics::Find(Metric metric,
                               LabelValues labels,
                               std::unique_lock<std::mutex>* lock) {
  std::string text = FormatLabels(RowOf(metric), labels);
  const size_t index = static_cast<size_t>(metric);
  Shard& shard = *this->shards[(std::hash<std::string>()(text) + index) % kShards];
  *lock = std::unique_lock(shard.mutex);
  return shard.series[index][std::move(text)];
}

void Metrics::Add(Metric metric, LabelValues labels, double amount) {
  assert(RowOf(metric).type == MetricType::kCounter && "only counters are added to");
  std::unique_lock<std::mutex> lock;
  this->Find(metric, labels, &lock).value += amount;
}

void Metrics::Set(Metric metric, LabelValues labels, double value) {
  assert(RowOf(metric).type == MetricType::kGauge && "only gauges are set");
  std::unique_lock<std::mutex> lock;
  this->Find(metric, labels, &lock).value = value;
}

void Metrics::Observe(Metric metric, LabelValues labels, std::chrono::microseconds duration) {
  assert(RowOf(metric).type == MetricType::kSummary && "only summaries observe durations");
  const double seconds = std::chrono::duration<double>(duration).count();
  std::unique_lock<std::mutex> lock;
  Series& series = this->Find(metric, labels, &lock);
  series.value += seconds;
  ++series.count;
  if (!series.current) {
    series.current = MakeWindow();
  }
  (*series.current)(seconds);
}

void Metrics::Remove(Metric metric, LabelValues labels) {
  const std::string text = FormatLabels(RowOf(metric), labels);
  for (auto& shard : this->shards) {
    std::lock_guard lock(shard->mutex);
    shard->series[static_cast<size_t>(metric)].erase(text);
  }
}

void Metrics::StartWindow() {
  for (auto& shard : this->shards) {
    std::lock_guard lock(shard->mutex);
    for (auto& by_labels : shard->series) {
      for (auto& [labels, series] : by_labels) {
        series.previous = std::move(series.current);
        series.current.reset();
      }
    }
  }
}

double Metrics::Value(Metric metric, LabelValues labels) const {
  const std::string text = FormatLabels(RowOf(metric), labels);
  for (const auto& shard : this->shards) {
    std::lock_guard lock(shard->mutex);
    const auto& by_labels = shard->series[static_cast<size_t>(metric)];
    if (const auto found = by_labels.find(text); found != by_labels.end()) {
      return found->second.value;
    }
  }
  return 0.0;
}

std::string Metrics::ToPrometheus() const {
  // Prometheus lines of each series: indexed by metric, then by the text of the labels.
  std::array<std::map<std::string, std::string>, kMetricCount> lines;
  for (const auto& shard : this->shards) {
    std::lock_guard lock(shard->mutex);
    for (size_t i = 0; i < kMetricCount; ++i) {
      for (const auto& [labels, series] : shard->series[i]) {
        lines[i][labels] = series.Format(kMetricTable[i], labels);
      }
    }
  }
  std::string text;
  for (size_t i = 0; i < kMetricCount; ++i) {
    const MetricRow& row = kMetricTable[i];
    if (lines[i].empty()) {
      continue;
    }
    const std::string name(row.name);
    text += "# HELP " + name + " " + std::string(row.help) + "\n";
    text += "# TYPE " + name + " ";
    text += kTypeNames[static_cast<size_t>(row.type)];
    text += "\n";
    for (const auto& [labels, formatted] : lines[i]) {
      text += formatted;
    }
  }
  return text;
}

}  // namespace poplarmoor
