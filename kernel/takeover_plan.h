#pragma once

#include <string>
#include <vector>

#include "kernel/log_position.h"
#include "kernel/name_table.h"
#include "kernel/ordered_promotion.h"

namespace poplarmoor {

/// Result of a takeover's latest status call to one endpoint of a group.
struct MemberStatus {
  std::string id;
  bool reachable = false;
  bool refused = false;  // The endpoint is running, but refused the call or closed the connection.
  bool leaving = false;
  // The endpoint has no registry entry any more. Its log is still compared, because it may be the
  // only one with some acknowledged commits, but the endpoint is not promoted.
  bool departed = false;
  // The store's record of the group named the endpoint before the takeover. Its log may have been
  // one of those that made a commit safe.
  bool recorded = false;
  bool is_primary = false;
  uint64_t term = 0;     // Highest term that the endpoint knows.
  LogPosition received;  // Position of the last entry in the endpoint's log.
  // Term in the command by which a takeover paused the endpoint's replication; 0: not paused.
  uint64_t active_pause_term = 0;
};

enum class TakeoverReason {
  kPrimaryLost,         // The primary does not answer on new connections.
  kPrimaryLeaving,      // The primary announced that it stops.
  kReplicationStalled,  // The primary answers, but no replica confirms its commits.
  kNoPrimary,           // No member reports itself as primary.
  kUnfinished,          // The holder of an earlier takeover has left it unfinished.
};

inline constexpr NameTable<TakeoverReason, 5> kTakeoverReasonNames{{{
    {TakeoverReason::kPrimaryLost, "primary_lost"},
    {TakeoverReason::kPrimaryLeaving, "primary_leaving"},
    {TakeoverReason::kReplicationStalled, "replication_stalled"},
    {TakeoverReason::kNoPrimary, "no_primary"},
    {TakeoverReason::kUnfinished, "unfinished"},
}}};

/// What a takeover knows after it has called every member of the group for its status.
struct TakeoverView {
  TakeoverReason reason = TakeoverReason::kPrimaryLost;
  std::string old_primary;  // Empty when no member reported itself as primary.
  std::vector<MemberStatus> members;
  // Term in the commands by which this takeover pauses replicas (stops them from receiving log
  // entries).
  uint64_t pause_term = 0;
  // True if an earlier takeover sent a replica the command to receive log entries again and this
  // command may not have arrived yet. It could undo this takeover's pause of that replica.
  bool resume_pending = false;
  // Newest position that this daemon knows a primary of the service to have had; {0, 0}: unknown.
  LogPosition known_position;
  // Number of replicas that have a commit before it is acknowledged; 0: unknown.
  uint32_t synchronous_replicas = 0;
  // Promotions that earlier takeovers have ordered and that may still take place, oldest first.
  std::vector<OrderedPromotion> ordered;
  // True if NoneHasLed() was true for the first statuses of this takeover or for later ones.
  bool none_has_led = false;
  // True if the candidate has lacked entries of a paused replica for longer than replication takes.
  bool catch_up_failed = false;
};

/// Next step of a takeover.
struct TakeoverStep {
  enum class Kind {
    kWait,      // Request the status of all members again shortly.
    kPause,     // Order the endpoint to stop receiving log entries.
    kStepDown,  // Order the endpoint to give up the primary role.
    kPromote,   // Promote the endpoint; its log holds every acknowledged commit.
    kAbandon,   // No takeover is needed.
  };

  Kind kind = Kind::kWait;
  // Id of the endpoint to pause, demote or promote. kAbandon: id of the current primary or of the
  // candidate for promotion; kWait: id of the candidate or of a replica that does not answer, or
  // empty.
  std::string endpoint;
  std::string cause;         // Reason of the step, for log lines.
  bool catching_up = false;  // kWait: the candidate lacks entries that a paused replica has.
};

/// Decides the next step of a takeover. A commit is acknowledged once one replica has received it.
/// All replicas except the candidate for promotion are paused first. From then on, a commit is
/// acknowledged only once the candidate has received it. Commits acknowledged earlier are in the
/// log of the candidate or of a paused replica, so the candidate is promoted only when no
/// paused replica has a longer log. The candidate itself is not paused while the primary leads:
/// the primary could then acknowledge commits only through a replica that this takeover does not
/// know yet.
/// The logs of `synchronous_replicas` members may be unknown if no primary answers, whichever
/// members these are: each acknowledged commit is in the log of one member more. This requires that
/// the view contains all members that may have acknowledged commits.
/// An ordered promotion is never given up, because an order that was not answered, or a promotion
/// that has begun, cannot be taken back. While it may take place, daemons acknowledge only commits
/// that its candidate has (JudgeCommit()), so the same candidate is promoted again without a
/// comparison. Another one is chosen only if this candidate cannot be promoted.
/// @param view Reason of the takeover and latest statuses of all members, departed ones included.
/// @returns The step.
TakeoverStep NextTakeoverStep(const TakeoverView& view);

/// @returns Whether the members show that none of the ordered promotions has taken place: a
/// promotion
///     ends all pauses, and a member is still paused by the takeover that has ordered it.
bool NoneHasLed(const TakeoverView& view);

/// @returns Whether the member answered as the primary.
bool LeadsIn(const std::vector<MemberStatus>& members, const std::string& id);

/// Decides the next order while the platform carries out a promotion. Until the candidate leads, a
/// replica that joins or restarts receives the old primary's log, so that commits could be
/// acknowledged which the candidate lacks.
/// @param view Latest statuses of all members.
/// @param candidate Id of the endpoint that is being promoted.
/// @returns A step of kind kPause for a replica that is not paused, of kind kStepDown if the old
///     primary answers and the candidate is paused, otherwise kWait.
TakeoverStep NextPromotionGuardStep(const TakeoverView& view, const std::string& candidate);

/// Decides which departed members later takeovers need not compare. A departed member that does not
/// answer and refuses no connection either may be left out once every registered replica has
/// received the log that the primary had after the departure: the acknowledged commits that only
/// the departed member had received are then in the logs of the others.
/// @param first Statuses of all members after the departure.
/// @param second Statuses of all members, requested after all answers of `first` had arrived.
/// @returns Ids of the departed members that may be left out.
std::vector<std::string> MembersToForget(const std::vector<MemberStatus>& first,
                                         const std::vector<MemberStatus>& second);

}  // namespace poplarmoor
