#include "kernel/admission/concurrency_limit.h"

#include <algorithm>
#include <utility>

namespace poplarmoor {

namespace {

// Number of finished statements after which a measuring window ends at the latest.
constexpr int kMaxWindowStatements = 20;
// Longest duration of a measuring window; it ends earlier after kMaxWindowStatements statements.
// The duration is checked when a statement finishes.
constexpr Duration kMaxWindowTime = 1000ms;
// Minimum number of statements in a measuring window; the mean latency of fewer is not used.
constexpr int kMinWindowStatements = 5;
// Ratio of a window's mean latency to the baseline latency above which the limit shrinks.
constexpr double kShrinkRatio = 2.0;
// Ratio of a window's mean latency to the baseline latency below which the limit may grow.
constexpr double kGrowRatio = 1.3;
// If the mean latency after the limit was lowered is above this fraction of the mean latency
// before, lowering the limit counts as having had no effect.
constexpr double kNoImprovementRatio = 0.9;
// Factor by which the baseline latency rises per measuring window, so that the effect of a single
// unusually fast window fades.
constexpr double kBaselineGrowth = 1.01;
// For this time after a no_slot refusal that lowered the limit, further no_slot refusals are
// ignored.
constexpr Duration kRefusalBurst = 50ms;
// Time after a no_slot refusal during which the limit stays below its value at the refusal. The
// time doubles up to kMaxCeilingTime with repeated refusals above the configured slots.
constexpr Duration kInitialCeilingTime = 1000ms;
constexpr Duration kMaxCeilingTime = 60s;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots, int max_connections) {
  this->Configure(slots, max_connections);
}

void ConcurrencyLimit::Configure(int slots, int max_connections) {
  slots = std::max(1, slots);
  const bool slots_changed = slots != this->slots;
  this->slots = slots;
  this->max_connections = std::max(1, max_connections);
  if (slots_changed) {
    this->limit = this->slots;
    this->ceiling_time = Duration(0);
    this->ceiling_until = TimePoint();
  }
  this->limit = std::min(this->limit, this->max_connections);
}

void ConcurrencyLimit::OnFinished(Duration latency, int running, TimePoint now) {
  if (this->window_count == 0) {
    this->window_start = now;
  }
  ++this->window_count;
  this->window_sum += static_cast<double>(latency.count());
  this->window_max_running = std::max(this->window_max_running, running);
  if (this->window_count >= kMaxWindowStatements || now - this->window_start >= kMaxWindowTime) {
    this->CloseWindow(now);
  }
}

void ConcurrencyLimit::CloseWindow(TimePoint now) {
  const int count = this->window_count;
  const double mean = this->window_sum / count;
  const bool saturated = this->window_max_running >= this->limit;
  this->window_count = 0;
  this->window_sum = 0.0;
  this->window_max_running = 0;
  if (count < kMinWindowStatements) {
    return;
  }
  // While the limit is above the configured slots, the baseline latency must not rise: it would
  // adapt to the queueing latency that the limit itself causes, and the limit would grow without
  // bound.
  const double previous_baseline =
      this->baseline * (this->limit <= this->slots ? kBaselineGrowth : 1.0);
  this->baseline = this->baseline == 0.0 ? mean : std::min(previous_baseline, mean);
  const double mean_before = std::exchange(this->mean_before_shrink, 0.0);
  if (mean_before > 0.0 && this->limit < this->slots && mean > kNoImprovementRatio * mean_before) {
    // The lower limit did not reduce the latency: the statements themselves became slower, so
    // their present mean latency becomes the baseline latency.
    this->baseline = mean;
  }
  const double ratio = mean / std::max(1.0, this->baseline);
  if (ratio > kShrinkRatio) {
    this->mean_before_shrink = mean;
    this->limit = std::max(1, this->limit - 1);
    return;
  }
  if (saturated && this->limit > this->ceiling) {
    // The endpoint ran more statements simultaneously than it was running when it last refused one
    // with no_slot, and refused none of them: it now has more slots.
    this->ceiling_time = Duration(0);
  }
  const bool below_ceiling = now >= this->ceiling_until || this->limit + 1 < this->ceiling;
  // The limit grows only if it was fully used and the latency stayed low: only then is one more
  // simultaneous statement likely to be fast too.
  if (saturated && ratio < kGrowRatio && below_ceiling) {
    this->limit = std::min(this->limit + 1, this->max_connections);
  }
}

void ConcurrencyLimit::OnNoSlot(TimePoint now) {
  if (this->refused_at && now - *this->refused_at < kRefusalBurst) {
    return;
  }
  this->refused_at = now;
  // If the limit is above the configured slots, the wait before it may grow again doubles each time
  // growth ends in a refusal, so that an endpoint with a fixed number of slots seldom refuses a
  // statement. If the limit is at or below the configured slots, the refusals are caused by another
  // owner, which may stop using the endpoint at any time, so the wait does not double.
  const bool doubles = this->limit > this->slots && this->ceiling_time > Duration(0);
  this->ceiling_time =
      doubles ? std::min<Duration>(this->ceiling_time * 2, kMaxCeilingTime) : kInitialCeilingTime;
  this->ceiling = this->limit;
  this->ceiling_until = now + this->ceiling_time;
  this->limit = std::max(1, this->limit - 1);
}

}  // namespace poplarmoor
