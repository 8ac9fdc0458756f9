#include "load/load_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace poplarmoor {

using nlohmann::json;

namespace {

double ToMs(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

}  // namespace

Duration RankStats::Percentile(double share) const {
  if (this->latency.empty()) {
    return Duration{0};
  }
  std::vector<Duration> sorted = this->latency;
  const auto rank = static_cast<size_t>(share * static_cast<double>(sorted.size()));
  const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(rank, sorted.size() - 1));
  std::nth_element(sorted.begin(), at, sorted.end());
  return *at;
}

void LoadReport::AddRecords(const std::vector<RequestRecord>& records,
                            const std::array<Duration, kRankCount>& targets,
                            Duration end) {
  this->duration = end;
  std::map<std::string, std::vector<Duration>> acked_at;
  for (const RequestRecord& record : records) {
    const auto rank = static_cast<size_t>(record.rank);
    RankStats& stats = this->ranks[rank];
    ++stats.offered;
    const Duration latency = record.answered - record.sent;
    switch (record.verdict) {
      case Verdict::kRan:
        ++stats.answered;
        stats.latency.push_back(latency);
        stats.in_target += latency <= targets[rank] ? 1 : 0;
        break;
      case Verdict::kNotRun:
        ++stats.refused_not_run;
        break;
      case Verdict::kMayHaveRun:
        ++stats.may_have_run;
        break;
    }
    if (record.verdict != Verdict::kRan) {
      ++this->reasons[std::string(kVerdictNames.NameOf(record.verdict)) + ":" + record.reason];
    } else if (record.kind != RequestKind::kRead) {
      acked_at[record.service].push_back(record.answered);
    }
  }
  for (auto& [service, times] : acked_at) {
    std::sort(times.begin(), times.end());
    this->writes[service] = times.size();
    // The time from the last acknowledged write until the load tool stops sending requests also
    // counts as a gap, because writes may have failed until then.
    times.push_back(std::max(end, times.back()));
    Duration gap{0};
    for (size_t i = 1; i < times.size(); ++i) {
      gap = std::max(gap, times[i] - times[i - 1]);
    }
    this->failover_gap[service] = gap;
  }
}

json LoadReport::ToJson() const {
  json by_rank;
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    const RankStats& stats = this->ranks[rank];
    by_rank[std::string(kRankNames.NameOf(static_cast<Rank>(rank)))] = {
        {"offered", stats.offered},
        {"answered", stats.answered},
        {"refused_not_run", stats.refused_not_run},
        {"may_have_run", stats.may_have_run},
        {"not_sent", stats.not_sent},
        {"p50_ms", ToMs(stats.Percentile(0.5))},
        {"p99_ms", ToMs(stats.Percentile(0.99))},
        {"in_target", stats.in_target}};
  }
  json gaps = json::object();
  for (const auto& [service, gap] : this->failover_gap) {
    gaps[service] = ToMs(gap);
  }
  json changes = json::array();
  for (const Duration time : this->config_in_force) {
    changes.push_back(ToMs(time));
  }
  const CheckResult& checks = this->checks;
  return {{"duration_s", ToMs(this->duration) / 1000},
          {"acked_writes", checks.acked_writes},
          {"lost_acked_writes", checks.lost_acked_writes},
          {"doubled_writes", checks.doubled_writes},
          {"stale_reads", checks.stale_reads},
          {"mixed_transactions", checks.mixed_transactions},
          {"crossed_answers", checks.crossed_answers},
          {"not_run_that_ran", checks.not_run_that_ran},
          {"nonrepeatable_run_twice", checks.nonrepeatable_run_twice},
          {"cut_in_flight", checks.cut_in_flight},
          {"reads_total", checks.reads_total},
          {"reads_by_replica", checks.reads_by_replica},
          {"reads_of_lost_writes", checks.reads_of_lost_writes},
          {"examples", checks.examples},
          {"failover_gap_ms", gaps},
          {"writes_by_service", this->writes},
          {"config_in_force_ms", changes},
          {"idle_connections", this->idle_connections},
          {"idle_connections_lost", this->idle_connections_lost},
          {"log_primaries", this->log_primaries},
          {"unchecked_services", this->unchecked_services},
          {"reasons", this->reasons},
          {"ranks", by_rank}};
}

}  // namespace poplarmoor
