#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/endpoint_status.h"
#include "kernel/log_position.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Tracks the writes of one group that wait until enough replicas have received them. Used by the
/// daemon that owns the group's primary.
///
/// A replica counts for a write only if it follows the primary's term and its last entry is of this
/// term. A received index alone proves nothing: a replica may hold other entries at the same
/// indexes until it has truncated its log. For the same reason an entry of an earlier term (the
/// answer to a repeated request id after a promotion) is confirmed only by a later entry of the
/// current term, so a primary must append an entry of its own term when it is promoted.
class ConfirmationTracker {
 public:
  /// State of a write after Add().
  enum class AddResult {
    kConfirmed,  // Enough replicas have received the write; answer kRan.
    kWaiting,    // OnStatus(), TakeExpired() or SetTerm() will return its id.
    kReplaced,   // The primary that ran the write was replaced; answer kMayHaveRun: unconfirmed.
  };

  /// Starts a term. Waiting writes of an earlier term can no longer be confirmed here.
  /// @param term Term of the primary.
  /// @param replicas Names of its replicas.
  /// @param needed Number of replicas that must receive a write, for example 1 of the 2 in a group
  ///     of 3.
  /// @param now Current time.
  /// @returns Ids of the waiting writes of an earlier term; they are answered kMayHaveRun.
  std::vector<uint64_t> SetTerm(uint64_t term,
                                std::vector<std::string> replicas,
                                size_t needed,
                                TimePoint now);

  /// Predicts whether a write sent now would be confirmed in time.
  /// @param deadline Deadline of the write.
  /// @param now Current time.
  /// @returns False when the write must be refused with kNotRun: no_quorum before it is sent.
  bool CanConfirm(TimePoint deadline, TimePoint now) const;

  /// @param now Current time.
  /// @returns The predicted time from the primary's answer to the confirmation; nothing when too
  ///     few replicas report.
  std::optional<Duration> PredictDelay(TimePoint now) const;

  /// Adds a write that ran at the primary.
  /// @param id Id chosen by the owner, unique among waiting writes.
  /// @param answer_term Term of the endpoint when it answered. Only replicas that follow this term
  ///     hold the log that contains the position, so no other term can confirm the write.
  /// @param position Log position of the write; it is of an earlier term when the primary had
  ///     already run the same request id.
  /// @param deadline Time from which TakeExpired() returns the write.
  /// @param now Current time.
  /// @returns State of the write; it is tracked only in state kWaiting.
  AddResult Add(uint64_t id,
                uint64_t answer_term,
                LogPosition position,
                TimePoint deadline,
                TimePoint now);

  /// Records the status of a replica.
  /// @param status Status of a replica; ignored when it is of another term.
  /// @param now Current time.
  /// @returns Ids of the writes that the status confirms, in log order.
  std::vector<uint64_t> OnStatus(const EndpointStatus& status, TimePoint now);

  /// @param now Current time.
  /// @returns Ids of the writes whose deadline passed; they are answered kMayHaveRun: unconfirmed.
  std::vector<uint64_t> TakeExpired(TimePoint now);

  /// @returns The earliest deadline of a waiting write.
  std::optional<TimePoint> NextExpiry() const;

  /// @returns The lowest log index of an unconfirmed write, which a status long poll should wait
  ///     for.
  std::optional<uint64_t> WaitIndex() const;

  /// @returns The highest index that enough replicas have received in this term; 0 when none.
  uint64_t ConfirmedIndex() const { return this->confirmed; }

  /// @returns The number of waiting writes.
  size_t size() const { return this->waiting.size(); }

 private:
  struct Replica {
    uint64_t received = 0;  // Highest log index that the replica has received in this term.
    std::optional<TimePoint> last_status_at;  // Time of the replica's last status in this term.
  };

  struct Write {
    uint64_t id = 0;
    uint64_t term = 0;  // Term of the primary that ran the write.
    TimePoint deadline;
    TimePoint added;
  };

  void UpdateConfirmed();
  void RecordDelay(Duration delay);

  uint64_t term = 0;
  size_t needed = 1;
  TimePoint term_started_at;
  std::map<std::string, Replica> replicas;
  std::multimap<uint64_t, Write> waiting;  // Unconfirmed writes by log index.
  uint64_t confirmed = 0;
  double mean_delay = 0.0;     // Smoothed time until a write is confirmed, microseconds.
  uint64_t stalled_index = 0;  // Index of a write that expired unconfirmed; 0: none.
  TimePoint stalled_since;
};

}  // namespace poplarmoor
