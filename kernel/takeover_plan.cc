#include "kernel/takeover_plan.h"

#include <algorithm>

namespace poplarmoor {

namespace {

using Kind = TakeoverStep::Kind;

// Prefers a member that stays, then the longer log, then one that still receives.
bool IsBetterCandidate(const MemberStatus& left, const MemberStatus& right) {
  if (left.received != right.received) {
    return left.received > right.received;
  }
  if ((left.held_term == 0) != (right.held_term == 0)) {
    return left.held_term == 0;
  }
  return left.id < right.id;
}

const MemberStatus* Best(const std::vector<const MemberStatus*>& replicas, bool leaving) {
  const MemberStatus* best = nullptr;
  for (const MemberStatus* replica : replicas) {
    if (replica->leaving == leaving && (best == nullptr || IsBetterCandidate(*replica, *best))) {
      best = replica;
    }
  }
  return best;
}

// Whether the old primary follows now with a log that no other member exceeds. A member that has
// lost its log also answers as a replica, but is behind the others.
bool HasFullLog(const std::vector<const MemberStatus*>& replicas, const std::string& old_primary) {
  const MemberStatus* former = nullptr;
  LogPosition longest;
  for (const MemberStatus* replica : replicas) {
    longest = std::max(longest, replica->received);
    former = replica->id == old_primary ? replica : former;
  }
  return former != nullptr && former->received >= longest;
}

}  // namespace

TakeoverStep NextTakeoverStep(const TakeoverView& view) {
  const MemberStatus* primary = nullptr;
  std::vector<const MemberStatus*> replicas;
  const MemberStatus* silent_replica = nullptr;
  for (const MemberStatus& member : view.members) {
    if (member.reachable && member.is_primary && member.id != view.old_primary) {
      return {Kind::kAbandon, member.id, "another member leads already"};
    }
    if (member.id == view.old_primary && (!member.reachable || member.is_primary)) {
      primary = &member;
    } else if (member.reachable) {
      replicas.push_back(&member);
    } else {
      silent_replica = &member;
    }
  }
  const bool primary_answers = primary != nullptr && primary->reachable;
  const bool stepped_down = HasFullLog(replicas, view.old_primary);
  if (primary_answers && view.reason == TakeoverReason::kPrimaryLost) {
    return {Kind::kAbandon, primary->id, "the primary answers"};
  }
  const MemberStatus* candidate = Best(replicas, false);
  const MemberStatus* leaving = Best(replicas, true);
  if (!primary_answers && leaving != nullptr &&
      (candidate == nullptr || leaving->received > candidate->received)) {
    candidate = leaving;  // Nothing can transfer its commits to a member that stays.
  }
  if (candidate == nullptr) {
    return {Kind::kWait, "", "no replica answers"};
  }
  if (silent_replica != nullptr && !stepped_down) {
    // The silent replica may hold acknowledged commits that the candidate lacks. Only the end of
    // the primary's own log bounds them.
    if (!primary_answers) {
      return {Kind::kWait, silent_replica->id, "a replica with an unknown log does not answer"};
    }
    return {Kind::kStepDown, primary->id, "a replica with an unknown log does not answer"};
  }
  if (view.resume_pending && !stepped_down) {
    // A pause proves nothing: the primary may acknowledge commits that only a resumed replica has.
    if (!primary_answers) {
      return {Kind::kWait, candidate->id, "a resume order of an earlier takeover may be pending"};
    }
    return {Kind::kStepDown, primary->id, "a resume order of an earlier takeover may be pending"};
  }
  for (const MemberStatus* replica : replicas) {
    if (replica != candidate && replica->held_term < view.pause_term) {
      return {Kind::kPause, replica->id, "a replica still receives"};
    }
  }
  for (const MemberStatus* replica : replicas) {
    if (replica->received > candidate->received) {
      return {Kind::kWait, candidate->id, "the candidate has not caught up"};
    }
  }
  return {Kind::kPromote, candidate->id, "the candidate holds every acknowledged commit"};
}

}  // namespace poplarmoor
