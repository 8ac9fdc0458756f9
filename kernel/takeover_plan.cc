#include "kernel/takeover_plan.h"

#include <algorithm>
#include <limits>
#include <set>

namespace poplarmoor {

namespace {

using Kind = TakeoverStep::Kind;

// Whether `left` is preferred for promotion: first by the longer log, then for not being paused,
// then by the lower id.
bool IsBetterCandidate(const MemberStatus& left, const MemberStatus& right) {
  if (left.received != right.received) {
    return left.received > right.received;
  }
  if ((left.active_pause_term == 0) != (right.active_pause_term == 0)) {
    return left.active_pause_term == 0;
  }
  return left.id < right.id;
}

constexpr uint64_t kAnyPauseTerm = std::numeric_limits<uint64_t>::max();

// Returns the best candidate among the registered replicas whose `leaving` field is as given and
// that no takeover has paused at `pause_limit` or later, or null.
const MemberStatus* BestReplica(const std::vector<const MemberStatus*>& replicas,
                                bool leaving,
                                uint64_t pause_limit = kAnyPauseTerm) {
  const MemberStatus* best = nullptr;
  for (const MemberStatus* replica : replicas) {
    if (!replica->departed && replica->leaving == leaving &&
        replica->active_pause_term < pause_limit &&
        (best == nullptr || IsBetterCandidate(*replica, *best))) {
      best = replica;
    }
  }
  return best;
}

bool HasEmptyLog(const MemberStatus& member) {
  return member.received.index == 0;  // Entries are numbered from 1.
}

// Whether the old primary answers as a replica with its whole log. An old primary that has started
// again without its log also answers as a replica. Its log is then empty, or shorter than a
// position that it is known to have had or than another replica's log. The start time in its
// registry entry tells nothing: the entry arrives later than the answer, and a start with the log
// changes it, too.
bool OldPrimaryHasWholeLog(const std::vector<const MemberStatus*>& replicas,
                           const std::string& old_primary,
                           LogPosition known_position) {
  const MemberStatus* old_primary_status = nullptr;
  LogPosition longest = known_position;
  for (const MemberStatus* replica : replicas) {
    longest = std::max(longest, replica->received);
    old_primary_status = replica->id == old_primary ? replica : old_primary_status;
  }
  return old_primary_status != nullptr && !HasEmptyLog(*old_primary_status) &&
         old_primary_status->received >= longest;
}

// Returns the registered member that reports itself as primary, or null.
const MemberStatus* FindPrimary(const std::vector<MemberStatus>& members) {
  const auto found = std::find_if(members.begin(), members.end(), [](const MemberStatus& member) {
    return member.reachable && member.is_primary && !member.departed;
  });
  return found == members.end() ? nullptr : &*found;
}

// Whether the member was one of those that make commits safe, and has started again without its
// log.
bool HasLostItsLog(const MemberStatus& member, LogPosition known_position) {
  return member.recorded && HasEmptyLog(member) && known_position.index != 0;
}

// Returns whether the members whose logs are known have every acknowledged commit between them. A
// member that does not answer has an unknown log. A member with an empty log counts as one of
// these: it has just joined, or has started again without the log that it had. So does a former
// primary that does not lead, unless `old_primary_is_whole`, and a candidate of an ordered
// promotion that is not a member any more: it may have led since.
bool KnownLogsSuffice(const TakeoverView& view, bool old_primary_is_whole) {
  auto unknown =
      std::count_if(view.members.begin(), view.members.end(), [&](const MemberStatus& member) {
        const bool is_former = member.id == view.old_primary && !old_primary_is_whole;
        return !member.reachable || HasEmptyLog(member) || is_former;
      });
  std::set<std::string> gone;
  for (const OrderedPromotion& promotion : view.ordered) {
    gone.insert(promotion.endpoint);
  }
  for (const MemberStatus& member : view.members) {
    gone.erase(member.id);
  }
  return static_cast<size_t>(unknown) + gone.size() <= view.synchronous_replicas;
}

// Returns the newest candidate of an ordered promotion that can be promoted again, or null.
const MemberStatus* FindOrderedCandidate(const TakeoverView& view) {
  for (auto ordered = view.ordered.rbegin(); ordered != view.ordered.rend(); ++ordered) {
    for (const MemberStatus& member : view.members) {
      // If the newest candidate leads, the order shows the platform the newest token, so that it
      // carries out no earlier order any more.
      const bool leads_by_earlier_order =
          member.is_primary && ordered->endpoint != view.ordered.back().endpoint;
      if (member.id == ordered->endpoint && member.reachable && !leads_by_earlier_order &&
          !member.departed && member.received >= ordered->received) {
        return &member;
      }
    }
  }
  return nullptr;
}

bool IsRunning(const std::vector<MemberStatus>& members, const std::string& id) {
  return std::any_of(members.begin(), members.end(), [&id](const MemberStatus& member) {
    return member.id == id && (member.reachable || member.refused);
  });
}

}  // namespace

TakeoverStep NextTakeoverStep(const TakeoverView& view) {
  const MemberStatus* primary = nullptr;
  std::vector<const MemberStatus*> replicas;
  const MemberStatus* unknown_replica = nullptr;
  for (const MemberStatus& member : view.members) {
    const bool leads = member.reachable && member.is_primary;
    if (leads && member.id != view.old_primary && !member.departed) {
      return {Kind::kAbandon, member.id, "another member is already the primary"};
    }
    if (leads || (member.id == view.old_primary && !member.reachable)) {
      primary = primary == nullptr || leads ? &member : primary;
    } else if (member.reachable) {
      replicas.push_back(&member);
      unknown_replica = HasLostItsLog(member, view.known_position) ? &member : unknown_replica;
    } else {
      unknown_replica = &member;
    }
  }
  for (const MemberStatus& member : view.members) {
    // The log of a former primary is unknown as well when a departed member leads.
    if (&member != primary && member.id == view.old_primary && !member.reachable) {
      unknown_replica = &member;
    }
  }
  if (const MemberStatus* ordered = FindOrderedCandidate(view)) {
    return {Kind::kPromote, ordered->id, "an earlier takeover has ordered this promotion"};
  }
  const bool primary_answers = primary != nullptr && primary->reachable;
  const bool old_primary_is_whole =
      OldPrimaryHasWholeLog(replicas, view.old_primary, view.known_position);
  // The candidate of an earlier order may have led since.
  const bool stepped_down = (view.ordered.empty() || view.none_has_led) && old_primary_is_whole;
  const bool is_unneeded =
      view.reason == TakeoverReason::kPrimaryLost || view.reason == TakeoverReason::kUnfinished;
  if (primary_answers && !primary->departed && is_unneeded && view.ordered.empty()) {
    return {Kind::kAbandon, primary->id, "the primary answers"};
  }
  // A status may be older than the answer to another replica's pause order, so the longest log
  // known can be that of a paused replica although the other one has received more since.
  // A silent primary may still lead and send its log to the replicas.
  // So may any member that does not answer, if the former primary is not among the replicas.
  const bool may_lead = primary != nullptr || (unknown_replica != nullptr && !stepped_down);
  const bool can_catch_up = may_lead && (primary_answers || !view.catch_up_failed);
  const uint64_t pause_limit = can_catch_up ? view.pause_term : kAnyPauseTerm;
  const MemberStatus* candidate = BestReplica(replicas, false, pause_limit);
  candidate = candidate == nullptr ? BestReplica(replicas, false) : candidate;
  const MemberStatus* leaving = BestReplica(replicas, true, pause_limit);
  if (!primary_answers && leaving != nullptr &&
      (candidate == nullptr || leaving->received > candidate->received)) {
    // Without a primary, the commits that only the leaving replica has cannot reach another
    // replica, so the leaving replica becomes the candidate.
    candidate = leaving;
  }
  if (candidate == nullptr) {
    return {Kind::kWait, "", "no replica answers"};
  }
  if (HasEmptyLog(*candidate) && view.known_position.index != 0) {
    return {Kind::kWait, candidate->id, "no replica has a log"};
  }
  if (view.members.size() <= view.synchronous_replicas) {
    // More members than these have received each acknowledged commit, so some are not known yet.
    return {Kind::kWait, candidate->id, "fewer members are known than acknowledge a commit"};
  }
  const bool enough_logs =
      stepped_down || (!primary_answers && KnownLogsSuffice(view, old_primary_is_whole));
  if (unknown_replica != nullptr && !enough_logs) {
    // The replica that does not answer may hold acknowledged commits that the candidate lacks. No
    // such commit lies beyond the end of the primary's log, and only the primary can report this
    // end.
    if (!primary_answers) {
      return {Kind::kWait, unknown_replica->id, "a replica with an unknown log does not answer"};
    }
    return {Kind::kStepDown, primary->id, "a replica with an unknown log does not answer"};
  }
  if (view.resume_pending && !stepped_down) {
    // A command of an earlier takeover to resume replication may still reach a replica and undo
    // this takeover's pause of that replica. The primary could then acknowledge commits that only
    // the primary and that replica have, and the promotion of another replica would lose them. So
    // the primary must step down first. If it does not answer, it cannot be told to, and the
    // takeover waits.
    if (!primary_answers) {
      return {Kind::kWait, candidate->id, "a resume order of an earlier takeover may be pending"};
    }
    return {Kind::kStepDown, primary->id, "a resume order of an earlier takeover may be pending"};
  }
  for (const MemberStatus* replica : replicas) {
    if (replica != candidate && replica->active_pause_term < view.pause_term) {
      return {Kind::kPause, replica->id, "a replica still receives log entries"};
    }
  }
  for (const MemberStatus* replica : replicas) {
    if (replica->received > candidate->received) {
      if (primary_answers && view.catch_up_failed && view.ordered.empty()) {
        return {Kind::kAbandon, candidate->id, "the candidate does not receive log entries"};
      }
      return {Kind::kWait, candidate->id, "the candidate has not caught up with a paused replica",
              true};
    }
  }
  if (primary_answers && candidate->active_pause_term != 0) {
    return {Kind::kStepDown, primary->id, "every replica is paused"};
  }
  return {Kind::kPromote, candidate->id, "the candidate holds every acknowledged commit"};
}

bool NoneHasLed(const TakeoverView& view) {
  return std::all_of(view.ordered.begin(), view.ordered.end(), [&view](const auto& promotion) {
    return promotion.term != 0 &&
           std::any_of(view.members.begin(), view.members.end(), [&](const MemberStatus& member) {
             return member.reachable && member.active_pause_term == promotion.term;
           });
  });
}

bool LeadsIn(const std::vector<MemberStatus>& members, const std::string& id) {
  return std::any_of(members.begin(), members.end(), [&id](const MemberStatus& member) {
    return member.id == id && member.reachable && member.is_primary;
  });
}

TakeoverStep NextPromotionGuardStep(const TakeoverView& view, const std::string& candidate) {
  if (LeadsIn(view.members, candidate)) {
    return {Kind::kWait, candidate, "the candidate leads"};
  }
  const MemberStatus* primary = FindPrimary(view.members);
  const bool paused =
      std::any_of(view.members.begin(), view.members.end(), [&](const MemberStatus& member) {
        return member.id == candidate && member.active_pause_term != 0;
      });
  if (primary != nullptr && paused) {
    return {Kind::kStepDown, primary->id, "the candidate is paused, and the primary answers again"};
  }
  for (const MemberStatus& member : view.members) {
    // A member in the pause term or a later one already follows the promoted endpoint.
    if (member.reachable && !member.is_primary && member.id != candidate &&
        member.active_pause_term < view.pause_term && member.term < view.pause_term) {
      return {Kind::kPause, member.id, "a replica receives log entries during the promotion"};
    }
  }
  return {Kind::kWait, candidate, "all replicas but the candidate are paused"};
}

std::vector<std::string> MembersToForget(const std::vector<MemberStatus>& first,
                                         const std::vector<MemberStatus>& second) {
  const MemberStatus* primary = FindPrimary(first);
  const MemberStatus* still_primary = FindPrimary(second);
  if (primary == nullptr || still_primary == nullptr || still_primary->id != primary->id ||
      still_primary->term != primary->term) {
    return {};
  }
  size_t replicas = 0;
  std::vector<std::string> silent;
  for (const MemberStatus& member : second) {
    if (member.departed) {
      if (!IsRunning(first, member.id) && !IsRunning(second, member.id)) {
        silent.push_back(member.id);
      }
    } else if (member.id != primary->id) {
      if (!member.reachable || member.received < primary->received) {
        return {};
      }
      ++replicas;
    }
  }
  return replicas == 0 ? std::vector<std::string>() : silent;
}

}  // namespace poplarmoor
