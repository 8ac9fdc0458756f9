#include "kernel/failover.h"

#include <algorithm>
#include <utility>

#include "kernel/trace_id.h"

namespace poplarmoor {

namespace {

// Longest takeover delay, as a multiple of FailoverOptions::takeover_delay.
constexpr uint64_t kMaxTakeoverFactor = 4;

}  // namespace

Failover::Failover(std::string daemon, FailoverOptions options, RandomEngine* random)
    : daemon(std::move(daemon)), options(options), random(random) {}

std::vector<FailoverAction> Failover::TakeActions() {
  return std::exchange(this->actions, {});
}

bool Failover::IsMine(const GroupState& group) const {
  return group.term == this->proposal.term && group.proposer == this->proposal.proposer;
}

const EndpointInfo* Failover::FindEndpoint(const std::string& name) const {
  for (const EndpointInfo& endpoint : this->known.endpoints) {
    if (endpoint.name == name) {
      return &endpoint;
    }
  }
  return nullptr;
}

// --- Knowledge of the group ---

void Failover::Learn(const GroupState& group, TimePoint now) {
  if (group.version > this->known.version) {
    this->Adopt(group, now);
  } else if (group.version == this->known.version) {
    // The object is unchanged, but the marks of leaving endpoints may differ.
    this->known.endpoints = group.endpoints;
  }
}

void Failover::Adopt(const GroupState& group, TimePoint now) {
  const bool first = this->known.version == 0;
  if (group.term > this->known.term || group.phase != this->known.phase) {
    if (group.phase == GroupPhase::kElecting) {
      this->electing_since = now;
      this->takeover_jitter = RandomDuration(this->random, this->options.takeover_delay / 2);
    } else if (!first) {
      this->promoted = now;
    }
    this->next_role.clear();
  }
  this->known = group;
  if (this->current_step == FailoverStep::kIdle) {
    return;
  }
  if (!this->IsMine(group)) {
    this->Finish();  // Another proposer has a later term.
  } else if (group.phase == GroupPhase::kServing) {
    this->Announce();
    for (const EndpointInfo& endpoint : this->known.endpoints) {
      this->Establish(endpoint, now);
    }
    this->Finish();
  } else if (this->current_step == FailoverStep::kClaiming) {
    this->Announce();
    this->EnterFencing(now);
  }
}

void Failover::OnHigherTerm(uint64_t term, TimePoint now) {
  if (term > this->known.term && this->current_step == FailoverStep::kIdle &&
      !this->platform.active && !this->platform.repeat) {
    this->SendRead(now);
  }
}

// --- Start and end of a promotion ---

bool Failover::Start(FailoverCause cause, TimePoint now) {
  if (this->current_step != FailoverStep::kIdle || this->known.version == 0) {
    return false;
  }
  const bool urgent = cause == FailoverCause::kGone || cause == FailoverCause::kOperator ||
                      cause == FailoverCause::kTakeover;
  if (!urgent && this->promoted && now - *this->promoted < this->options.calm_period) {
    return false;
  }
  if (this->known.phase == GroupPhase::kElecting && cause != FailoverCause::kTakeover) {
    return false;  // A promotion is under way; Tick() takes it over when it is not completed.
  }
  this->cause = cause;
  this->primary_answered = false;
  this->proposal = this->known;
  this->proposal.term = this->known.term + 1;
  this->proposal.phase = GroupPhase::kElecting;
  this->replaced = this->known.primary;
  this->proposal.primary.clear();
  this->proposal.proposer = this->daemon + "#" + FormatHex64((*this->random)());
  this->current_step = FailoverStep::kClaiming;
  this->platform_delay = this->options.platform_retry;
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
  // Every promotion that was not completed doubles the patience with the next, so that proposers
  // do not supersede each other for ever when the platform is slow.
  const uint64_t last_served =
      this->known.term_starts.empty() ? 0 : this->known.term_starts.back().term;
  const uint64_t attempts = this->known.term > last_served ? this->known.term - last_served : 1;
  return this->options.takeover_delay *
             static_cast<int64_t>(std::min(attempts, kMaxTakeoverFactor)) +
         this->takeover_jitter;
}

void Failover::Tick(TimePoint now) {
  if (this->platform.active && now >= this->platform.deadline) {
    this->RepeatLater(/*read=*/true, now);
  }
  if (!this->platform.active && this->platform.repeat && now >= this->platform.next) {
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
  if (this->current_step == FailoverStep::kIdle && this->known.version != 0 &&
      this->known.phase == GroupPhase::kElecting &&
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

void Failover::RepeatLater(bool read, TimePoint now) {
  this->platform = PlatformCall();
  if (this->current_step == FailoverStep::kIdle) {
    return;
  }
  this->platform.repeat = true;
  this->platform.read = read;
  this->platform.next =
      now + this->platform_delay / 2 + RandomDuration(this->random, this->platform_delay / 2);
  this->platform_delay = std::min(this->platform_delay * 2, this->options.platform_retry_cap);
}

void Failover::OnUpdate(uint64_t call,
                        UpdateOutcome outcome,
                        const GroupState& current,
                        TimePoint now) {
  if (!this->platform.active || call != this->platform.number) {
    return;  // The call was given up; its effect, if any, is found by the read that followed.
  }
  switch (outcome) {
    case UpdateOutcome::kApplied:
    case UpdateOutcome::kConflict:
      this->platform = PlatformCall();
      this->platform_delay = this->options.platform_retry;
      // A conflict may be with an earlier update of this daemon whose answer was lost; Adopt()
      // recognizes it by the proposer.
      this->Learn(current, now);
      break;
    case UpdateOutcome::kUnknown:
      this->RepeatLater(/*read=*/true, now);
      this->platform.next = now;
      break;
    case UpdateOutcome::kNotSent:
      if (this->current_step == FailoverStep::kClaiming && this->primary_answered) {
        this->Finish();  // The primary came back before anything was changed.
      } else {
        this->RepeatLater(/*read=*/false, now);
      }
      break;
  }
}

void Failover::OnRead(uint64_t call, const std::optional<GroupState>& current, TimePoint now) {
  if (!this->platform.active || call != this->platform.number) {
    return;
  }
  if (!current) {
    this->RepeatLater(/*read=*/true, now);
    return;
  }
  this->platform = PlatformCall();
  this->platform_delay = this->options.platform_retry;
  const FailoverStep step = this->current_step;
  this->Learn(*current, now);
  // The object is unchanged: the lost update was not applied. Its repetition carries the same
  // version, so that at most one of the two can ever take effect.
  if (current->version == this->proposal.version && step == this->current_step) {
    if (step == FailoverStep::kRecording) {
      this->SendUpdate(now);
    } else if (step == FailoverStep::kClaiming) {
      this->RepeatLater(/*read=*/false, now);
      this->platform.next = now;
    }
  }
}

// --- Fencing and the choice of the primary ---

void Failover::EnterFencing(TimePoint now) {
  this->current_step = FailoverStep::kFencing;
  this->fencing_since = now;
  this->grants.clear();
  this->next_fence.clear();
  this->SendFences(now);
}

void Failover::SendFences(TimePoint now) {
  for (const EndpointInfo& endpoint : this->known.endpoints) {
    TimePoint& next = this->next_fence[endpoint.name];
    if (this->grants.contains(endpoint.name) || now < next) {
      continue;
    }
    next = now + this->options.fence_retry;
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
  // A primary that is cut off from its replicas, or leaving, still grants the term and has the
  // highest position. Any majority includes every acknowledged write, so one without it is enough.
  std::map<std::string, LogPosition> others = this->grants;
  others.erase(this->replaced);
  if (others.size() >= this->FenceQuorum()) {
    this->grants = std::move(others);
    this->EnterRecording(now);
  } else if (this->grants.size() >= this->FenceQuorum() &&
             now - this->fencing_since >= this->options.fence_patience) {
    this->EnterRecording(now);
  }
}

void Failover::EnterRecording(TimePoint now) {
  // Every acknowledged write is on a majority of the endpoints, so that the highest position among
  // any majority includes it. Only between equal positions does anything else decide.
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
  this->proposal = this->known;
  this->proposal.phase = GroupPhase::kServing;
  this->proposal.primary = best->name;
  // Terms above that of the chosen endpoint's last entry left no entry in its log. They are
  // recorded as empty, so that term_starts describe exactly the log that survives.
  for (TermStart& start : this->proposal.term_starts) {
    if (start.term > best_last.term) {
      start.index = best_last.index;
    }
  }
  this->proposal.term_starts.push_back({this->proposal.term, best_last.index});
  this->SendUpdate(now);
}

// --- Establishing the roles ---

void Failover::Announce() {
  FailoverAction action;
  action.kind = FailoverActionKind::kAnnounce;
  action.group = this->known;
  this->actions.push_back(std::move(action));
}

void Failover::Establish(const EndpointInfo& endpoint, TimePoint now) {
  const EndpointInfo* primary = this->FindEndpoint(this->known.primary);
  TimePoint& next = this->next_role[endpoint.name];
  if (primary == nullptr || now < next) {
    return;
  }
  next = now + this->options.role_retry;
  FailoverAction action;
  const bool promote = endpoint.name == primary->name;
  action.kind = promote ? FailoverActionKind::kPromote : FailoverActionKind::kFollow;
  action.group = this->known;
  action.endpoint = endpoint;
  action.term = this->known.term;
  action.proposer = this->known.proposer;
  action.primary = *primary;
  action.start_index = this->known.term_starts.empty() ? 0 : this->known.term_starts.back().index;
  this->actions.push_back(std::move(action));
}

void Failover::OnStatus(const EndpointStatus& status, TimePoint now) {
  const EndpointInfo* endpoint = this->FindEndpoint(status.endpoint);
  if (endpoint == nullptr) {
    return;
  }
  const bool is_primary = status.endpoint == this->known.primary;
  // An endpoint that granted the term but has not been told whom to follow reports nothing
  // received.
  const bool waits = !status.is_primary && status.received == 0;
  if (status.term > this->known.term) {
    this->OnHigherTerm(status.term, now);
  } else if (this->known.phase == GroupPhase::kServing &&
             (status.term < this->known.term || status.is_primary != is_primary || waits)) {
    this->Establish(*endpoint, now);
  }
  if (is_primary && status.is_primary && status.term == this->known.term &&
      (this->cause == FailoverCause::kGone || this->cause == FailoverCause::kSilent)) {
    this->primary_answered = true;
  }
}

}  // namespace poplarmoor
