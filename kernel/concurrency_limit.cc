#include "kernel/concurrency_limit.h"

#include <algorithm>
#include <utility>

namespace poplarmoor {

namespace {

constexpr int kWindowCount = 20;            // Statements that a decision rests on.
constexpr Duration kWindowTime = 1000ms;    // Ends a window of few statements.
constexpr int kMinWindowCount = 5;          // Fewer statements say nothing about latency.
constexpr double kShrinkRatio = 2.0;        // Latency over baseline that shrinks the limit.
constexpr double kGrowRatio = 1.3;          // Latency over baseline below which it may grow.
constexpr double kNoGain = 0.9;             // Latency over that before a shrink: nothing gained.
constexpr double kBaselineDrift = 1.01;     // Per window, so that one fast window is forgotten.
constexpr Duration kBurst = 50ms;           // Refusals within it stem from the same excess.
constexpr Duration kFirstCeiling = 1000ms;  // Before the limit may grow again after no_slot.
constexpr Duration kLongestCeiling = 60s;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots, int max_connections) {
  this->Configure(slots, max_connections);
}

void ConcurrencyLimit::Configure(int slots, int max_connections) {
  slots = std::max(1, slots);
  const bool restart = slots != this->slots;
  this->slots = slots;
  this->max_connections = std::max(1, max_connections);
  if (restart) {
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
  if (this->window_count >= kWindowCount || now - this->window_start >= kWindowTime) {
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
  if (count < kMinWindowCount) {
    return;
  }
  // Above the slots the baseline never rises: it would follow the queueing that the limit itself
  // causes, and the limit would grow without end.
  const double known = this->baseline * (this->limit <= this->slots ? kBaselineDrift : 1.0);
  this->baseline = this->baseline == 0.0 ? mean : std::min(known, mean);
  const double before = std::exchange(this->mean_before_shrink, 0.0);
  if (before > 0.0 && this->limit < this->slots && mean > kNoGain * before) {
    this->baseline = mean;  // Running less did not help: the statements themselves became slower.
  }
  const double ratio = mean / std::max(1.0, this->baseline);
  if (ratio > kShrinkRatio) {
    this->mean_before_shrink = mean;
    this->limit = std::max(1, this->limit - 1);
    return;
  }
  if (saturated && this->limit > this->ceiling) {
    this->ceiling_time = Duration(0);  // The endpoint has more slots than at the last refusal.
  }
  const bool below_ceiling = now >= this->ceiling_until || this->limit + 1 < this->ceiling;
  // Only a window that used the whole limit shows that one more would also be fast.
  if (saturated && ratio < kGrowRatio && below_ceiling) {
    this->limit = std::min(this->limit + 1, this->max_connections);
  }
}

void ConcurrencyLimit::OnNoSlot(TimePoint now) {
  if (this->refused_at && now - *this->refused_at < kBurst) {
    return;
  }
  this->refused_at = now;
  // Above the configured slots, the wait before the next growth doubles while growth ends in
  // refusals, so that an endpoint with fixed slots is probed rarely. Below them the refusals stem
  // from another owner, which may leave at any time.
  const bool doubles = this->limit > this->slots && this->ceiling_time > Duration(0);
  this->ceiling_time =
      doubles ? std::min<Duration>(this->ceiling_time * 2, kLongestCeiling) : kFirstCeiling;
  this->ceiling = this->limit;
  this->ceiling_until = now + this->ceiling_time;
  this->limit = std::max(1, this->limit - 1);
}

}  // namespace poplarmoor
