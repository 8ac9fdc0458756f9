#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/rank.h"
#include "kernel/reason.h"
#include "kernel/registry.h"
#include "kernel/service_settings.h"
#include "kernel/time.h"

namespace poplarmoor {

/// A request that waits for a slot of one endpoint. Each slot is a right to run one statement.
struct AdmissionItem {
  uint64_t id = 0;  // Chosen by the endpoint's owner, unique among the waiting items of the queue.
  Rank rank = Rank::kStandard;
  std::string site;
  TimePoint deadline;
};

/// Result of AdmissionQueue::Offer().
struct AdmissionDecision {
  bool queued = false;
  Reason reason = Reason::kNone;  // kOverloaded or kDeadlineExceeded when the item was refused.
  Duration predicted_wait{0};     // Predicted time from Offer() until the item gets a slot.
  Duration retry_after{0};  // Time that the caller of a refused item should wait before a retry.
};

/// Settings of the admission queue of one endpoint.
struct AdmissionSettings {
  std::array<RankSettings, kRankCount> ranks;  // Settings of each rank, indexed by Rank.
  // Weights by which the sites share the slots of a rank; a site without an entry has weight 1.
  std::map<std::string, double> site_weights;
};

/// Queue for the slots of one endpoint, at the daemon that owns the endpoint. Plug-ins are
/// registered in Registry<AdmissionQueue>: floors, strict_priority and fcfs (first come, first
/// served). Each item that Next() returns holds a slot until exactly one call of Finished() or
/// Abandoned() gives the slot back.
class AdmissionQueue {
 public:
  virtual ~AdmissionQueue() = default;

  /// Applies changed settings. Waiting items stay in the queue.
  /// @param settings New settings.
  virtual void Configure(const AdmissionSettings& settings) = 0;

  /// @param slots Maximum number of items that hold a slot at the same time, at least 1; the result
  ///     of ConcurrencyLimit::Limit().
  virtual void SetSlots(int slots) = 0;

  /// Queues an item or refuses it. After an item was queued, the owner calls Next(), because a slot
  /// may be free.
  /// @param item The item.
  /// @param now Current time.
  /// @returns The decision. The item is refused when its deadline has passed, when the queue of its
  ///     rank and site is full, or when it would probably not be served before its deadline.
  virtual AdmissionDecision Offer(const AdmissionItem& item, TimePoint now) = 0;

  /// Takes the next item if a slot is free. Expired items are skipped; TakeExpired() returns them.
  /// @param now Current time.
  /// @returns The item that now holds a slot; nothing when no slot is free or no item waits.
  virtual std::optional<AdmissionItem> Next(TimePoint now) = 0;

  /// Gives back a slot after the endpoint answered.
  /// @param rank Rank of the item that held the slot.
  /// @param service_time Time from sending the request to receiving its answer.
  virtual void Finished(Rank rank, Duration service_time) = 0;

  /// Gives back a slot without recording a service time, because the request was not sent or got
  /// no answer.
  /// @param rank Rank of the item that held the slot.
  virtual void Abandoned(Rank rank) = 0;

  /// Removes a waiting item, for example because its caller disconnected.
  /// @param id Id of the item.
  /// @returns Whether the item was waiting.
  virtual bool Cancel(uint64_t id) = 0;

  /// @param now Current time.
  /// @returns Items whose deadline passed while they waited; each is returned once.
  virtual std::vector<AdmissionItem> TakeExpired(TimePoint now) = 0;

  /// @returns The earliest time at which TakeExpired() may return an item; nothing when no item
  ///     waits and TakeExpired() has returned every expired one.
  virtual std::optional<TimePoint> NextExpiry() const = 0;

  /// @param rank Any rank.
  /// @returns Number of waiting items of the rank.
  virtual size_t Waiting(Rank rank) const = 0;

  /// @returns Number of items that hold a slot.
  virtual int Running() const = 0;
};

}  // namespace poplarmoor
