#include "kernel/concurrency_limit.h"

#include <algorithm>
#include <utility>

namespace poplarmoor {

namespace {

constexpr int kMaxWindowStatements = 20;     // Statements after which a measuring window ends.
constexpr Duration kMaxWindowTime = 1000ms;  // Time after which a measuring window ends.
constexpr int kMinWindowStatements = 5;      // Fewer statements give no usable mean latency.
// Ratio of the mean latency to the baseline above which the limit shrinks.
constexpr double kShrinkRatio = 2.0;
// Ratio of the mean latency to the baseline below which the limit may grow.
constexpr double kGrowRatio = 1.3;
// Lowering the limit counts as having had no effect if the mean latency stays above this fraction
// of the mean latency before.
constexpr double kNoImprovementRatio = 0.9;
// Factor by which the baseline rises per measuring window, so that the effect of a single unusually
// fast window fades.
constexpr double kBaselineGrowth = 1.01;
constexpr Duration kRefusalBurst = 50ms;  // no_slot refusals within this time count as one.
// Time after the first no_slot refusal during which the limit stays below its value at the refusal.
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
  // Above the configured slots the baseline must not rise: it would adapt to the queueing latency
  // that the limit itself causes, and the limit would grow without bound.
  const double previous_baseline =
      this->baseline * (this->limit <= this->slots ? kBaselineGrowth : 1.0);
  this->baseline = this->baseline == 0.0 ? mean : std::min(previous_baseline, mean);
  const double mean_before = std::exchange(this->mean_before_shrink, 0.0);
  if (mean_before > 0.0 && this->limit < this->slots && mean > kNoImprovementRatio * mean_before) {
    // The lower limit did not reduce the latency: the statements themselves became slower.
    this->baseline = mean;
  }
  const double ratio = mean / std::max(1.0, this->baseline);
  if (ratio > kShrinkRatio) {
    this->mean_before_shrink = mean;
    this->limit = std::max(1, this->limit - 1);
    return;
  }
  if (saturated && this->limit > this->ceiling) {
    // The endpoint ran more statements at once than at the last no_slot refusal without refusing
    // any: it now has more slots.
    this->ceiling_time = Duration(0);
  }
  const bool below_ceiling = now >= this->ceiling_until || this->limit + 1 < this->ceiling;
  // Only a fully used limit with low latency shows that one more statement would be fast too.
  if (saturated && ratio < kGrowRatio && below_ceiling) {
    this->limit = std::min(this->limit + 1, this->max_connections);
  }
}

void ConcurrencyLimit::OnNoSlot(TimePoint now) {
  if (this->refused_at && now - *this->refused_at < kRefusalBurst) {
    return;
  }
  this->refused_at = now;
  // Above the configured slots, the wait before the next growth doubles as long as growth ends in
  // refusals, so that an endpoint with a fixed number of slots is probed rarely. At or below them
  // the refusals are caused by another owner, which may stop using the endpoint at any time, so the
  // wait does not double.
  const bool doubles = this->limit > this->slots && this->ceiling_time > Duration(0);
  this->ceiling_time =
      doubles ? std::min<Duration>(this->ceiling_time * 2, kMaxCeilingTime) : kInitialCeilingTime;
  this->ceiling = this->limit;
  this->ceiling_until = now + this->ceiling_time;
  this->limit = std::max(1, this->limit - 1);
}

}  // namespace poplarmoor
