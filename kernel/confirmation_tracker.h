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
/// A replica counts for a write only if it follows the primary's term and the last entry of its log
/// is of this term. A received index alone proves nothing: a replica may hold other entries at the
/// same indexes until it has truncated its log.
///
/// If a request id is repeated after a promotion, the primary's answer refers to an entry of an
/// earlier term. For the same reason, only a later entry of the current term confirms such an
/// entry. A primary must therefore append an entry of its own term when it is promoted.
class ConfirmationTracker {
 public:
  /// State of a write after Add().
  enum class AddResult {
    kConfirmed,  // Enough replicas have received the write; the owner answers kRan.
    // Not confirmed yet. OnStatus(), TakeExpired() or SetTerm() returns the write's id later.
    kWaiting,
    kReplaced,  // The write's primary was replaced; the owner answers kMayHaveRun (kUnconfirmed).
  };

  /// Starts a term, or changes the replicas of the current term. A call for an earlier term is
  /// ignored. Waiting writes of an earlier term are removed, because they can no longer be
  /// confirmed.
  /// @param term Term of the primary.
  /// @param replicas Names of the primary's replicas.
  /// @param needed Number of replicas that must receive a write before it is confirmed, for example
  ///     1 of the 2 replicas in a group of 3 endpoints.
  /// @param now Current time.
  /// @returns Ids of the waiting writes of earlier terms; the owner answers them kMayHaveRun.
  std::vector<uint64_t> SetTerm(uint64_t term,
                                std::vector<std::string> replicas,
                                size_t needed,
                                TimePoint now);

  /// Predicts whether a write sent now would be confirmed in time.
  /// @param deadline Deadline of the write.
  /// @param now Current time.
  /// @returns False when the owner must refuse the write (kNotRun, kNoQuorum) and not send it.
  bool CanConfirm(TimePoint deadline, TimePoint now) const;

  /// @param now Current time.
  /// @returns The predicted time from the primary's answer to a write until the write is confirmed;
  ///     nothing when fewer replicas than needed count as reachable.
  std::optional<Duration> PredictDelay(TimePoint now) const;

  /// Adds a write that ran at the primary.
  /// @param id Id chosen by the owner, unique among waiting writes.
  /// @param answer_term Term of the endpoint when it answered. Only replicas that follow this term
  ///     hold the log that contains the position, so no other term can confirm the write.
  /// @param position Log position of the write. Its term is earlier than `answer_term` when a write
  ///     with the same request id had already run in the earlier term.
  /// @param deadline Time from which TakeExpired() returns the write.
  /// @param now Current time.
  /// @returns State of the write; it is tracked only in state kWaiting.
  AddResult Add(uint64_t id,
                uint64_t answer_term,
                LogPosition position,
                TimePoint deadline,
                TimePoint now);

  /// Records the status of a replica.
  /// @param status Status of an endpoint; ignored unless the endpoint is a replica of this term.
  /// @param now Current time.
  /// @returns Ids of the writes that the status confirms, in log order.
  std::vector<uint64_t> OnStatus(const EndpointStatus& status, TimePoint now);

  /// @param now Current time.
  /// @returns Ids of the writes whose deadline has passed; the owner answers them kMayHaveRun with
  ///     the reason kUnconfirmed.
  std::vector<uint64_t> TakeExpired(TimePoint now);

  /// @returns The earliest deadline of a waiting write; nothing when no write waits.
  std::optional<TimePoint> NextExpiry() const;

  /// @returns The lowest log index of a waiting write, or of an expired write that is still
  ///     unconfirmed; nothing when there is none. A status long poll of a replica should last until
  ///     the replica has received this index.
  std::optional<uint64_t> WaitIndex() const;

  /// @returns The highest log index that enough replicas have received in this term; 0 when none.
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
  size_t needed = 1;  // Number of replicas that must receive a write before it is confirmed.
  TimePoint term_started_at;
  std::map<std::string, Replica> replicas;
  std::multimap<uint64_t, Write> waiting;  // Unconfirmed writes by log index.
  uint64_t confirmed = 0;
  double mean_delay = 0.0;     // Smoothed time from Add() to the confirmation, microseconds.
  uint64_t stalled_index = 0;  // Log index of a write that expired unconfirmed; 0: none.
  TimePoint stalled_since;     // When the write at stalled_index was added.
};

}  // namespace poplarmoor
