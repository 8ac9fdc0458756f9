#pragma once

#include <array>
#include <set>
#include <unordered_map>
#include <utility>

#include "kernel/admission/admission_queue.h"
#include "kernel/admission/site_queues.h"

namespace poplarmoor {

/// Implements all three admission policies: `floors` uses ranks, sites and minimum shares of the
/// slots (floors), `strict_priority` uses only ranks, and `fcfs` serves in the order of arrival.
class RankedAdmission : public AdmissionQueue {
 public:
  /// Properties that a policy takes into account.
  struct Traits {
    bool ranks = true;   // Serves more urgent ranks first.
    bool sites = true;   // Divides the slots of each rank among the sites by weight.
    bool floors = true;  // Guarantees each rank its floor_share of the slots.
  };

  explicit RankedAdmission(const Traits& traits);

  void Configure(const AdmissionSettings& settings) override;
  void SetSlots(int slots) override;
  AdmissionDecision Offer(const AdmissionItem& item, TimePoint now) override;
  std::optional<AdmissionItem> Next(TimePoint now) override;
  void Finished(Rank rank, Duration service_time) override;
  void Abandoned(Rank rank) override;
  bool Cancel(uint64_t id) override;
  std::vector<AdmissionItem> TakeExpired(TimePoint now) override;
  std::optional<TimePoint> NextExpiry() const override;
  size_t Waiting(Rank rank) const override;
  int Running() const override { return this->running; }

 private:
  /// Queue and statistics of one rank, or of all items under fcfs.
  struct PriorityClass {
    SiteQueues<AdmissionItem> site_queues;
    double floor_share = 0.0;
    size_t max_queue = 256;          // Maximum number of waiting items of each site.
    double mean_service_time = 0.0;  // Smoothed service time, microseconds; 0: not measured.
    // Slot time that the rank's floor_share entitles it to and that it has not used yet,
    // microseconds.
    double credit = 0.0;
    double arrivals = 0.0;  // Smoothed arrival rate at last_arrival, items per microsecond.
    TimePoint last_arrival;
    std::optional<TimePoint> first_arrival;
  };

  struct Waiter {
    size_t class_index = 0;
    SiteQueues<AdmissionItem>::Handle handle;
  };

  size_t ClassOf(Rank rank) const;
  const std::string& SiteKeyOf(const AdmissionItem& item) const;
  double QuantumOf(const std::string& site) const;
  double ServiceTimeOf(const PriorityClass& queue) const;
  Duration PredictWait(size_t class_index, const std::string& site, TimePoint now) const;
  size_t ChooseClass() const;
  void UpdateCredits(size_t class_index);
  static double ArrivalRate(const PriorityClass& queue, TimePoint now);
  static void CountArrival(PriorityClass* queue, TimePoint now);
  double CostOf(const PriorityClass& queue) const;
  void MoveExpired(TimePoint now);
  void RemoveFromIndexes(const AdmissionItem& item);
  void Remove(const Waiter& waiter);

  Traits traits;
  AdmissionSettings settings;
  double smallest_weight = 1.0;
  int slots = 1;
  int running = 0;
  double mean_service_time = 0.0;  // Smoothed over all items, microseconds; 0: not measured.
  std::array<PriorityClass, kRankCount> classes;
  std::array<size_t, kRankCount> waiting{};  // Number of waiting items by rank.
  std::unordered_map<uint64_t, Waiter> waiters;
  std::set<std::pair<TimePoint, uint64_t>> deadlines;  // Deadline and id of each waiting item.
  std::vector<AdmissionItem> expired;  // Expired items that TakeExpired() has not returned yet.
};

}  // namespace poplarmoor
