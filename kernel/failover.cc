#include "kernel/failover.h"

#include <algorithm>
#include <utility>

#include "kernel/trace_id.h"

namespace poplarmoor {

namespace {

// Upper limit of the takeover delay, not counting its random part, as a multiple of
// FailoverOptions::takeover_delay.
constexpr uint64_t kMaxTakeoverFactor = 4;

}  // namespace

Failover::Failover(std::string daemon, FailoverOptions options, RandomEngine* random)
    : daemon(std::move(daemon)), options(options), random(random) {}

std::vector<FailoverAction> Failover::TakeActions() {
  return std::exchange(this->actions, {});
}

bool Failover::IsOwnProposal(const GroupState& group) const {
  return group.term == this->proposal.term && group.proposer == this->proposal.proposer;
}

const EndpointInfo* Failover::FindEndpoint(const std::string& name) const {
  for (const EndpointInfo& endpoint : this->known_group.endpoints) {
    if (endpoint.name == name) {
      return &endpoint;
    }
  }
  return nullptr;
}

// --- Group state ---

void Failover::UpdateGroup(const GroupState& group, TimePoint now) {
  if (group.version > this->known_group.version) {
    this->ApplyNewerState(group, now);
  } else if (group.version == this->known_group.version) {
    // The group object is unchanged, but the `leaving` flags of its endpoints may differ.
    this->known_group.endpoints = group.endpoints;
  }
}

void Failover::ApplyNewerState(const GroupState& group, TimePoint now) {
  const bool first = this->known_group.version == 0;
  if (group.term > this->known_group.term || group.phase != this->known_group.phase) {
    if (group.phase == GroupPhase::kElecting) {
      this->electing_since = now;
      this->takeover_jitter = RandomDuration(this->random, this->options.takeover_delay / 2);
    } else if (!first) {
      this->last_promotion = now;
    }
    this->next_role.clear();
  }
  this->known_group = group;
  if (this->current_step == FailoverStep::kIdle) {
    return;
  }
  if (!this->IsOwnProposal(group)) {
    this->Finish();  // Another proposer has claimed this term or a later one.
  } else if (group.phase == GroupPhase::kServing) {
    this->Announce();
    for (const EndpointInfo& endpoint : this->known_group.endpoints) {
      this->AssignRole(endpoint, now);
    }
    this->Finish();
  } else if (this->current_step == FailoverStep::kClaiming) {
    this->Announce();
    this->EnterFencing(now);
  }
}

void Failover::OnHigherTerm(uint64_t term, TimePoint now) {
  if (term > this->known_group.term && this->current_step == FailoverStep::kIdle &&
      !this->platform.active && !this->platform.retry_pending) {
    this->SendRead(now);
  }
}

// --- Start and end of a promotion ---

bool Failover::Start(FailoverCause cause, TimePoint now) {
  if (this->current_step != FailoverStep::kIdle || this->known_group.version == 0) {
    return false;
  }
  const bool urgent = cause == FailoverCause::kGone || cause == FailoverCause::kOperator ||
                      cause == FailoverCause::kTakeover;
  if (!urgent && this->last_promotion &&
      now - *this->last_promotion < this->options.min_promotion_interval) {
    return false;
  }
  if (this->known_group.phase == GroupPhase::kElecting && cause != FailoverCause::kTakeover) {
    // A promotion by some daemon is in progress. If it is not completed within TakeoverDelay(),
    // Tick() starts a new promotion with the cause kTakeover.
    return false;
  }
  this->cause = cause;
  this->primary_answered = false;
  this->proposal = this->known_group;
  this->proposal.term = this->known_group.term + 1;
  this->proposal.phase = GroupPhase::kElecting;
  this->replaced_primary = this->known_group.primary;
  this->proposal.primary.clear();
  this->proposal.proposer = this->daemon + "#" + FormatHex64((*this->random)());
  this->current_step = FailoverStep::kClaiming;
  this->platform_delay = this->options.platform_retry_delay;
  this->SendUpdate(now);
  return true;
}

void Failover::Finish() {
  this->current_step = FailoverStep::kIdle;
  this->platform = PlatformCall();
  this->grants.clear();
  this->next_fence.clear();
}

Duration Failover::TakeoverDelay() const {
  // The takeover delay grows with every successive promotion that was not completed. Otherwise,
  // when the platform is slow, proposers would supersede each other for ever.
  const uint64_t last_served =
      this->known_group.term_starts.empty() ? 0 : this->known_group.term_starts.back().term;
  const uint64_t attempts =
      this->known_group.term > last_served ? this->known_group.term - last_served : 1;
  return this->options.takeover_delay *
             static_cast<int64_t>(std::min(attempts, kMaxTakeoverFactor)) +
         this->takeover_jitter;
}

void Failover::Tick(TimePoint now) {
  if (this->platform.active && now >= this->platform.deadline) {
    this->ScheduleRetry(/*read=*/true, now);
  }
  if (!this->platform.active && this->platform.retry_pending && now >= this->platform.retry_at) {
    if (this->platform.read) {
      this->SendRead(now);
    } else {
      this->SendUpdate(now);
    }
  }
  if (this->current_step == FailoverStep::kFencing) {
    this->SendFences(now);
    this->EvaluateGrants(now);
  }
  if (this->current_step == FailoverStep::kIdle && this->known_group.version != 0 &&
      this->known_group.phase == GroupPhase::kElecting &&
      now - this->electing_since >= this->TakeoverDelay()) {
    this->Start(FailoverCause::kTakeover, now);
  }
}

// --- Platform calls ---

void Failover::SendUpdate(TimePoint now) {
  this->platform = PlatformCall();
  this->platform.active = true;
  this->platform.number = this->next_call++;
  this->platform.deadline = now + this->options.call_timeout;
  FailoverAction action;
  action.kind = FailoverActionKind::kUpdate;
  action.call = this->platform.number;
  action.group = this->proposal;
  this->actions.push_back(std::move(action));
}

void Failover::SendRead(TimePoint now) {
  this->platform = PlatformCall();
  this->platform.active = true;
  this->platform.read = true;
  this->platform.number = this->next_call++;
  this->platform.deadline = now + this->options.call_timeout;
  FailoverAction action;
  action.kind = FailoverActionKind::kRead;
  action.call = this->platform.number;
  this->actions.push_back(std::move(action));
}

void Failover::ScheduleRetry(bool read, TimePoint now) {
  this->platform = PlatformCall();
  if (this->current_step == FailoverStep::kIdle) {
    return;
  }
  this->platform.retry_pending = true;
  this->platform.read = read;
  this->platform.retry_at =
      now + this->platform_delay / 2 + RandomDuration(this->random, this->platform_delay / 2);
  this->platform_delay = std::min(this->platform_delay * 2, this->options.max_platform_retry_delay);
}

void Failover::OnUpdate(uint64_t call,
                        UpdateOutcome outcome,
                        const GroupState& current,
                        TimePoint now) {
  if (!this->platform.active || call != this->platform.number) {
    // This platform call has timed out. A later read of the group object shows whether the update
    // took effect.
    return;
  }
  switch (outcome) {
    case UpdateOutcome::kApplied:
    case UpdateOutcome::kConflict:
      this->platform = PlatformCall();
      this->platform_delay = this->options.platform_retry_delay;
      // On a conflict, the group object may have been changed by an earlier update of this daemon
      // whose answer was lost; ApplyNewerState() recognizes such an update by its proposer.
      this->UpdateGroup(current, now);
      break;
    case UpdateOutcome::kUnknown:
      this->ScheduleRetry(/*read=*/true, now);
      this->platform.retry_at = now;
      break;
    case UpdateOutcome::kNotSent:
      if (this->current_step == FailoverStep::kClaiming && this->primary_answered) {
        // The promotion is abandoned: the primary answers again, and phase `electing` was not
        // written.
        this->Finish();
      } else {
        this->ScheduleRetry(/*read=*/false, now);
      }
      break;
  }
}

void Failover::OnRead(uint64_t call, const std::optional<GroupState>& current, TimePoint now) {
  if (!this->platform.active || call != this->platform.number) {
    return;
  }
  if (!current) {
    this->ScheduleRetry(/*read=*/true, now);
    return;
  }
  this->platform = PlatformCall();
  this->platform_delay = this->options.platform_retry_delay;
  const FailoverStep step = this->current_step;
  this->UpdateGroup(*current, now);
  // If the group object is unchanged, the update that got no answer has not been applied yet. The
  // retry expects the same object version, so that at most one of the two updates takes effect.
  if (current->version == this->proposal.version && step == this->current_step) {
    if (step == FailoverStep::kRecording) {
      this->SendUpdate(now);
    } else if (step == FailoverStep::kClaiming) {
      this->ScheduleRetry(/*read=*/false, now);
      this->platform.retry_at = now;
    }
  }
}

// --- Fencing and the choice of the new primary ---

void Failover::EnterFencing(TimePoint now) {
  this->current_step = FailoverStep::kFencing;
  this->fencing_since = now;
  this->grants.clear();
  this->next_fence.clear();
  this->SendFences(now);
}

void Failover::SendFences(TimePoint now) {
  for (const EndpointInfo& endpoint : this->known_group.endpoints) {
    TimePoint& next = this->next_fence[endpoint.name];
    if (this->grants.contains(endpoint.name) || now < next) {
      continue;
    }
    next = now + this->options.fence_retry_interval;
    FailoverAction action;
    action.kind = FailoverActionKind::kFence;
    action.endpoint = endpoint;
    action.term = this->proposal.term;
    action.proposer = this->proposal.proposer;
    this->actions.push_back(std::move(action));
  }
}

void Failover::OnFence(const std::string& endpoint,
                       uint64_t term,
                       bool granted,
                       LogPosition last,
                       TimePoint now) {
  if (this->current_step != FailoverStep::kFencing || term != this->proposal.term || !granted ||
      this->FindEndpoint(endpoint) == nullptr) {
    return;
  }
  this->grants[endpoint] = last;
  this->EvaluateGrants(now);
}

void Failover::EvaluateGrants(TimePoint now) {
  // An old primary that is leaving or cut off from its replicas still grants the new term. Its log
  // is usually the longest, so it would be chosen again. The logs of any majority together hold
  // every acknowledged write, so the grants of a majority without the old primary suffice. The
  // promotion waits up to replica_majority_timeout for such a majority.
  std::map<std::string, LogPosition> others = this->grants;
  others.erase(this->replaced_primary);
  if (others.size() >= this->FenceQuorum()) {
    this->grants = std::move(others);
    this->EnterRecording(now);
  } else if (this->grants.size() >= this->FenceQuorum() &&
             now - this->fencing_since >= this->options.replica_majority_timeout) {
    this->EnterRecording(now);
  }
}

void Failover::EnterRecording(TimePoint now) {
  // Every acknowledged write is on a majority of the endpoints. So in any majority that granted the
  // term, the endpoint with the highest log position has every acknowledged write. Other criteria
  // only break ties between equal positions.
  const EndpointInfo* best = nullptr;
  LogPosition best_last;
  for (const auto& [name, last] : this->grants) {
    const EndpointInfo* endpoint = this->FindEndpoint(name);
    if (best == nullptr || this->IsBetter(last, best_last) ||
        (last == best_last && best->leaving && !endpoint->leaving)) {
      best = endpoint;
      best_last = last;
    }
  }
  this->current_step = FailoverStep::kRecording;
  this->proposal = this->known_group;
  this->proposal.phase = GroupPhase::kServing;
  this->proposal.primary = best->name;
  // The chosen endpoint's log has no entries of terms later than the term of its last entry. Those
  // later terms are recorded as empty, so that term_starts describes exactly the log that the
  // chosen endpoint has.
  for (TermStart& start : this->proposal.term_starts) {
    if (start.term > best_last.term) {
      start.index = best_last.index;
    }
  }
  this->proposal.term_starts.push_back({this->proposal.term, best_last.index});
  this->SendUpdate(now);
}

// --- Role assignment ---

void Failover::Announce() {
  FailoverAction action;
  action.kind = FailoverActionKind::kAnnounce;
  action.group = this->known_group;
  this->actions.push_back(std::move(action));
}

void Failover::AssignRole(const EndpointInfo& endpoint, TimePoint now) {
  const EndpointInfo* primary = this->FindEndpoint(this->known_group.primary);
  TimePoint& next = this->next_role[endpoint.name];
  if (primary == nullptr || now < next) {
    return;
  }
  next = now + this->options.role_retry_interval;
  FailoverAction action;
  const bool promote = endpoint.name == primary->name;
  action.kind = promote ? FailoverActionKind::kPromote : FailoverActionKind::kFollow;
  action.group = this->known_group;
  action.endpoint = endpoint;
  action.term = this->known_group.term;
  action.proposer = this->known_group.proposer;
  action.primary = *primary;
  action.start_index =
      this->known_group.term_starts.empty() ? 0 : this->known_group.term_starts.back().index;
  this->actions.push_back(std::move(action));
}

void Failover::OnStatus(const EndpointStatus& status, TimePoint now) {
  const EndpointInfo* endpoint = this->FindEndpoint(status.endpoint);
  if (endpoint == nullptr) {
    return;
  }
  const bool is_primary = status.endpoint == this->known_group.primary;
  // An endpoint that granted the term but has not received its `follow` request yet reports 0 as
  // the index of the last log entry that it received.
  const bool awaits_role = !status.is_primary && status.received == 0;
  if (status.term > this->known_group.term) {
    this->OnHigherTerm(status.term, now);
  } else if (this->known_group.phase == GroupPhase::kServing &&
             (status.term < this->known_group.term || status.is_primary != is_primary ||
              awaits_role)) {
    this->AssignRole(*endpoint, now);
  }
  if (is_primary && status.is_primary && status.term == this->known_group.term &&
      (this->cause == FailoverCause::kGone || this->cause == FailoverCause::kSilent)) {
    this->primary_answered = true;
  }
}

}  // namespace poplarmoor
