#pragma once

#include <string>
#include <vector>

#include "kernel/log_position.h"
#include "kernel/name_table.h"

namespace poplarmoor {

/// What a member of a group says of itself during a takeover.
struct MemberStatus {
  std::string id;
  bool reachable = false;
  bool leaving = false;
  bool is_primary = false;
  uint64_t term = 0;       // Newest term that it knows.
  LogPosition received;    // End of its log.
  uint64_t held_term = 0;  // Term of the pause order it obeys; 0: it receives.
};

enum class TakeoverReason {
  kPrimaryLost,         // It does not answer on fresh connections.
  kPrimaryLeaving,      // It announced its end.
  kReplicationStalled,  // It answers, but its commits are not acknowledged.
  kNoPrimary,           // No member claims the lead.
};

inline constexpr NameTable<TakeoverReason, 4> kTakeoverReasonNames{{{
    {TakeoverReason::kPrimaryLost, "primary_lost"},
    {TakeoverReason::kPrimaryLeaving, "primary_leaving"},
    {TakeoverReason::kReplicationStalled, "replication_stalled"},
    {TakeoverReason::kNoPrimary, "no_primary"},
}}};

/// State of a takeover after one round of status calls.
struct TakeoverView {
  TakeoverReason reason = TakeoverReason::kPrimaryLost;
  std::string old_primary;  // Empty when no member claimed the lead.
  std::vector<MemberStatus> members;
  uint64_t pause_term = 0;      // Term of this takeover's pause orders.
  bool resume_pending = false;  // A replica may start to receive again in spite of its pause.
};

/// Next step of a takeover.
struct TakeoverStep {
  enum class Kind {
    kWait,      // Ask the members again shortly.
    kPause,     // Order the endpoint to stop receiving.
    kStepDown,  // Order the endpoint to give up the lead.
    kPromote,   // Every acknowledged commit is in the endpoint's log: promote it.
    kAbandon,   // No takeover is needed.
  };

  Kind kind = Kind::kWait;
  std::string endpoint;
  std::string cause;  // For the log.
};

/// Decides the next step of a takeover. A commit is acknowledged once one replica has received it.
/// All replicas but the candidate are paused first: from then on only the candidate's receipt can
/// acknowledge a commit, and earlier ones are within the paused positions.
/// @param view Latest statuses of all registered members.
/// @returns The step.
TakeoverStep NextTakeoverStep(const TakeoverView& view);

}  // namespace poplarmoor
