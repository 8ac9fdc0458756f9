#include "kernel/admission/ranked_admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <memory>

// Sections: interface, queue keys and wait prediction, choice between ranks, bookkeeping.

namespace poplarmoor {

namespace {

constexpr double kSmoothing = 0.1;          // Weight of a new service time in the moving average.
constexpr double kArrivalWindow = 500'000;  // Time constant of the arrival rate, microseconds.
// Minimum time since the first arrival that is assumed when an arrival rate is computed.
constexpr Duration kMinArrivalPeriod = 20ms;
// Service time that is assumed for an item before any is measured, microseconds.
constexpr double kDefaultCost = 1'000;
// Minimum share of the slots that a wait prediction assumes for a rank. It keeps the predicted wait
// finite for a rank that gets no slots.
constexpr double kMinShare = 0.01;
constexpr double kMinWeight = 0.01;  // Minimum weight of a site; lower settings are raised to it.
// The predicted wait is raised by 1 / kMarginDivisor of itself before it is compared with the
// deadline. Under overload the queue grows until the predicted waits end just at the deadlines, and
// without the margin any error of the prediction would let admitted items expire.
constexpr int kMarginDivisor = 10;
constexpr Duration kMinRetryAfter = 10ms;
constexpr Duration kMaxRetryAfter = 5000ms;

Duration FromMicros(double micros) {
  return Duration(static_cast<int64_t>(std::ceil(micros)));
}

void UpdateMean(double* mean, double value) {
  *mean = *mean == 0.0 ? value : *mean + kSmoothing * (value - *mean);
}

}  // namespace

// --- Interface -----------------------------------------------------------------------------------

RankedAdmission::RankedAdmission(const Traits& traits) : traits(traits) {
  this->Configure(AdmissionSettings());
}

void RankedAdmission::Configure(const AdmissionSettings& settings) {
  this->settings = settings;
  this->smallest_weight = 1.0;
  for (const auto& [site, weight] : settings.site_weights) {
    this->smallest_weight = std::min(this->smallest_weight, std::max(weight, kMinWeight));
  }
  size_t total = 0;
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    const RankSettings& rank_settings = settings.ranks[rank];
    this->classes[rank].floor_share = this->traits.floors ? rank_settings.floor_share : 0.0;
    this->classes[rank].max_queue = rank_settings.max_queue;
    total += rank_settings.max_queue;
  }
  if (!this->traits.ranks) {
    this->classes[0].max_queue = total;
  }
}

void RankedAdmission::SetSlots(int slots) {
  this->slots = std::max(1, slots);
}

AdmissionDecision RankedAdmission::Offer(const AdmissionItem& item, TimePoint now) {
  assert(!this->waiters.contains(item.id) && "ids are unique among waiting items");
  AdmissionDecision decision;
  if (item.deadline <= now) {
    decision.reason = Reason::kDeadlineExceeded;
    return decision;
  }
  const size_t index = this->ClassOf(item.rank);
  const std::string& site = this->SiteKeyOf(item);
  PriorityClass& queue = this->classes[index];
  decision.predicted_wait = this->PredictWait(index, site, now);
  Duration needed = decision.predicted_wait;
  if (needed > Duration(0)) {
    needed += needed / kMarginDivisor + FromMicros(this->ServiceTimeOf(queue));
  }
  const bool full = queue.site_queues.SizeOf(site) >= queue.max_queue;
  if (full || now + needed > item.deadline) {
    decision.reason = Reason::kOverloaded;
    // Estimated time until the queue would admit an item with the same time to its deadline.
    const Duration excess = full ? decision.predicted_wait : now + needed - item.deadline;
    decision.retry_after = std::clamp<Duration>(excess, kMinRetryAfter, kMaxRetryAfter);
    return decision;
  }
  const SiteQueues<AdmissionItem>::Handle handle =
      queue.site_queues.Push(item, site, this->QuantumOf(site));
  this->waiters.emplace(item.id, Waiter{index, handle});
  this->deadlines.emplace(item.deadline, item.id);
  ++this->waiting[static_cast<size_t>(item.rank)];
  this->CountArrival(&queue, now);
  decision.queued = true;
  return decision;
}

std::optional<AdmissionItem> RankedAdmission::Next(TimePoint now) {
  if (this->running >= this->slots || this->waiters.empty()) {
    return std::nullopt;
  }
  this->MoveExpired(now);
  const size_t index = this->ChooseClass();
  if (index == kRankCount) {
    return std::nullopt;
  }
  PriorityClass& queue = this->classes[index];
  AdmissionItem item = queue.site_queues.Front();
  this->RemoveFromIndexes(item);
  queue.site_queues.PopFront();
  this->UpdateCredits(index);
  ++this->running;
  return item;
}

void RankedAdmission::Finished(Rank rank, Duration service_time) {
  this->Abandoned(rank);
  const double micros = std::max(1.0, static_cast<double>(service_time.count()));
  UpdateMean(&this->mean_service_time, micros);
  UpdateMean(&this->classes[this->ClassOf(rank)].mean_service_time, micros);
}

void RankedAdmission::Abandoned(Rank) {
  assert(this->running > 0 && "only an item from Next() holds a slot");
  --this->running;
}

bool RankedAdmission::Cancel(uint64_t id) {
  const auto found = this->waiters.find(id);
  if (found == this->waiters.end()) {
    return false;
  }
  this->Remove(found->second);
  return true;
}

std::vector<AdmissionItem> RankedAdmission::TakeExpired(TimePoint now) {
  this->MoveExpired(now);
  return std::exchange(this->expired, {});
}

std::optional<TimePoint> RankedAdmission::NextExpiry() const {
  if (!this->expired.empty()) {
    return this->expired.front().deadline;
  }
  return this->deadlines.empty() ? std::nullopt : std::optional(this->deadlines.begin()->first);
}

size_t RankedAdmission::Waiting(Rank rank) const {
  return this->waiting[static_cast<size_t>(rank)];
}

// --- Queue keys and wait prediction --------------------------------------------------------------

size_t RankedAdmission::ClassOf(Rank rank) const {
  return this->traits.ranks ? static_cast<size_t>(rank) : 0;
}

const std::string& RankedAdmission::SiteKeyOf(const AdmissionItem& item) const {
  static const std::string all_sites;
  return this->traits.sites ? item.site : all_sites;
}

double RankedAdmission::QuantumOf(const std::string& site) const {
  const auto found = this->settings.site_weights.find(site);
  const double weight = found == this->settings.site_weights.end() ? 1.0 : found->second;
  // Dividing by the smallest weight makes each deficit round robin quantum at least 1. Each turn of
  // a site then serves an item, and Next() takes constant time.
  return std::max(weight, kMinWeight) / this->smallest_weight;
}

double RankedAdmission::ServiceTimeOf(const PriorityClass& queue) const {
  return queue.mean_service_time > 0.0 ? queue.mean_service_time : this->mean_service_time;
}

Duration RankedAdmission::PredictWait(size_t class_index,
                                      const std::string& site,
                                      TimePoint now) const {
  const PriorityClass& own = this->classes[class_index];
  // Slot time that the waiting items of more urgent ranks need, microseconds.
  double higher_work = 0.0;
  // Mean number of slots that newly arriving items of more urgent ranks occupy.
  double higher_load = 0.0;
  // Sum of the floors (minimum shares of the slots) of less urgent ranks with waiting items.
  double lower_floors = 0.0;
  for (size_t each = 0; each < kRankCount; ++each) {
    const PriorityClass& other = this->classes[each];
    if (each < class_index) {
      higher_work += static_cast<double>(other.site_queues.size()) * this->ServiceTimeOf(other);
      higher_load += ArrivalRate(other, now) * this->ServiceTimeOf(other);
    } else if (each > class_index && !other.site_queues.empty()) {
      lower_floors += other.floor_share;
    }
  }
  if (this->running < this->slots && higher_work == 0.0 && own.site_queues.empty()) {
    return Duration(0);
  }
  // Estimates how many items of this rank are served before a new item of `site`: deficit round
  // robin serves the waiting items of the sites in proportion to the sites' quanta.
  const auto own_items = static_cast<double>(own.site_queues.SizeOf(site));
  const double quantum = this->QuantumOf(site);
  const double other_quanta = own.site_queues.ActiveQuanta() - (own_items > 0.0 ? quantum : 0.0);
  const double ahead = std::min(static_cast<double>(own.site_queues.size()),
                                own_items + (own_items + 1.0) * other_quanta / quantum);
  const double own_work = ahead * this->ServiceTimeOf(own);
  // More urgent items that arrive during the wait take slots, and less urgent ranks with waiting
  // items get the slots that their floors guarantee. A floor of the item's own rank gives the wait
  // an upper bound.
  const double slots = this->slots;
  const double first_free = this->running < this->slots ? 0.0 : this->mean_service_time / slots;
  const double share = std::max(kMinShare, 1.0 - std::min(1.0, higher_load / slots));
  const double capacity = slots * std::max(kMinShare, 1.0 - lower_floors);
  double wait = (higher_work + own_work / share) / capacity;
  if (own.floor_share > 0.0) {
    wait = std::min(wait, (own_work + this->ServiceTimeOf(own)) / (slots * own.floor_share));
  }
  return FromMicros(first_free + wait);
}

// --- Choice between ranks ------------------------------------------------------------------------

size_t RankedAdmission::ChooseClass() const {
  size_t highest = kRankCount;
  for (size_t index = 0; index < kRankCount; ++index) {
    const PriorityClass& queue = this->classes[index];
    if (queue.site_queues.empty()) {
      continue;
    }
    if (highest == kRankCount) {
      highest = index;
    } else if (queue.floor_share > 0.0 && queue.credit >= this->CostOf(queue)) {
      return index;  // The floor entitles this less urgent rank to the slot time of one item.
    }
  }
  return highest;
}

void RankedAdmission::UpdateCredits(size_t class_index) {
  // With few slots, the floor (minimum share) of a rank is seldom a whole slot, so floors hold on
  // average over time: each dispatch credits every rank that has waiting items with its share of
  // the dispatched item's slot time, and a rank whose credit covers one item goes first.
  const double cost = this->CostOf(this->classes[class_index]);
  for (size_t index = 0; index < kRankCount; ++index) {
    PriorityClass& queue = this->classes[index];
    if (index == class_index) {
      // Slot time that the rank uses beyond its floor does not make its credit negative.
      queue.credit = std::max(0.0, queue.credit + queue.floor_share * cost - cost);
    } else if (!queue.site_queues.empty()) {
      queue.credit += queue.floor_share * cost;
    }
    if (queue.site_queues.empty()) {
      // A rank's credit is the time for which its items may still occupy slots under its floor
      // (minimum share). It lapses when no item of the rank waits, so that items that arrive later
      // do not go ahead of more urgent ranks because of old credit.
      queue.credit = 0.0;
    }
  }
}

double RankedAdmission::CostOf(const PriorityClass& queue) const {
  const double mean_service_time = this->ServiceTimeOf(queue);
  return mean_service_time > 0.0 ? mean_service_time : kDefaultCost;
}

// --- Bookkeeping ---------------------------------------------------------------------------------

double RankedAdmission::ArrivalRate(const PriorityClass& queue, TimePoint now) {
  if (!queue.first_arrival) {
    return 0.0;
  }
  // Soon after the first arrival the decayed count of arrivals covers a time shorter than
  // kArrivalWindow. Unless the rate is divided by `covered`, a queue that starts under overload
  // admits far more than it can serve in time.
  const auto age = static_cast<double>((now - queue.last_arrival).count());
  const Duration elapsed = std::max<Duration>(now - *queue.first_arrival, kMinArrivalPeriod);
  const double covered = 1.0 - std::exp(-static_cast<double>(elapsed.count()) / kArrivalWindow);
  return queue.arrivals * std::exp(-age / kArrivalWindow) / covered;
}

void RankedAdmission::CountArrival(PriorityClass* queue, TimePoint now) {
  const auto age = static_cast<double>((now - queue->last_arrival).count());
  queue->arrivals = queue->arrivals * std::exp(-age / kArrivalWindow) + 1.0 / kArrivalWindow;
  queue->last_arrival = now;
  if (!queue->first_arrival) {
    queue->first_arrival = now;
  }
}

void RankedAdmission::MoveExpired(TimePoint now) {
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const auto found = this->waiters.find(this->deadlines.begin()->second);
    this->expired.push_back(*found->second.handle.item);
    this->Remove(found->second);
  }
}

void RankedAdmission::RemoveFromIndexes(const AdmissionItem& item) {
  --this->waiting[static_cast<size_t>(item.rank)];
  this->deadlines.erase({item.deadline, item.id});
  this->waiters.erase(item.id);
}

void RankedAdmission::Remove(const Waiter& waiter) {
  const Waiter copy = waiter;
  this->RemoveFromIndexes(*copy.handle.item);
  this->classes[copy.class_index].site_queues.Erase(copy.handle);
}

namespace {

Registry<AdmissionQueue>::Entry MakePluginEntry(const char* name,
                                                const RankedAdmission::Traits& traits) {
  return {name, [traits] { return std::make_unique<RankedAdmission>(traits); }};
}

const Registry<AdmissionQueue>::Entry kFloors = MakePluginEntry("floors", {true, true, true});
const Registry<AdmissionQueue>::Entry kStrictPriority =
    MakePluginEntry("strict_priority", {true, false, false});
const Registry<AdmissionQueue>::Entry kFcfs = MakePluginEntry("fcfs", {false, false, false});

}  // namespace

}  // namespace poplarmoor
