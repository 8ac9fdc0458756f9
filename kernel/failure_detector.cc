#include "kernel/failure_detector.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace poplarmoor {

std::vector<DetectorAction> FailureDetector::TakeActions() {
  return std::exchange(this->actions, {});
}

FailureDetector::Evidence* FailureDetector::Find(const std::string& endpoint) {
  const auto found = this->endpoints.find(endpoint);
  return found == this->endpoints.end() ? nullptr : &found->second;
}

const EndpointStatus* FailureDetector::StatusOf(const std::string& endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  return found == this->endpoints.end() || !found->second.status ? nullptr : &*found->second.status;
}

bool FailureDetector::IsDown(const std::string& endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  return found != this->endpoints.end() && found->second.down;
}

void FailureDetector::SetGroup(const GroupState& group, TimePoint now) {
  if (group.primary != this->group.primary || group.term != this->group.term) {
    this->stalled_since.reset();
    this->leaving_since.reset();
    this->misplaced_since.reset();
  }
  this->group = group;
  std::erase_if(this->endpoints, [&group](const auto& entry) {
    return std::none_of(group.endpoints.begin(), group.endpoints.end(),
                        [&entry](const EndpointInfo& each) { return each.name == entry.first; });
  });
  for (const EndpointInfo& endpoint : group.endpoints) {
    const auto [found, is_new] = this->endpoints.try_emplace(endpoint.name);
    if (is_new) {
      found->second.answered = now;
      found->second.next_probe = now;
    }
  }
}

void FailureDetector::Add(DetectorActionKind kind, const std::string& endpoint) {
  DetectorAction action;
  action.kind = kind;
  action.endpoint = endpoint;
  this->actions.push_back(action);
}

void FailureDetector::Declare(FailoverCause cause, TimePoint now) {
  if (now < this->next_declare) {
    return;
  }
  this->next_declare = now + this->options.declare_interval;
  this->Add(DetectorActionKind::kDeclare, this->group.primary);
  this->actions.back().cause = cause;
}

void FailureDetector::Tick(TimePoint now) {
  for (auto& [name, evidence] : this->endpoints) {
    if (evidence.probing && now >= evidence.probe_sent + this->options.probe_timeout) {
      this->Miss(name, &evidence, now);
    }
    if (now >= evidence.next_probe) {
      evidence.next_probe = now + this->options.probe_interval;
      evidence.probe_sent = now;
      evidence.probing = true;
      this->Add(DetectorActionKind::kProbe, name);
    }
    if (evidence.confirming && now >= evidence.confirm_start + this->options.confirm_timeout * 2) {
      // The calls have their own timeouts; this covers an outcome that was never reported.
      evidence.confirming = false;
    }
  }
  this->CheckReplication(now);
  this->CheckRole(now);
  this->CheckLeaving(now);
}

void FailureDetector::OnStatus(const EndpointStatus& status, TimePoint now) {
  Evidence* evidence = this->Find(status.endpoint);
  if (evidence == nullptr) {
    return;
  }
  evidence->answered = now;
  evidence->probing = false;
  evidence->missed = 0;
  evidence->refused = false;
  evidence->down = false;
  evidence->confirming = false;  // An answer, however late, ends the suspicion.
  // Late answers may overtake each other; within a role, the position only grows.
  const bool overtaken = evidence->status && status.term == evidence->status->term &&
                         status.is_primary == evidence->status->is_primary &&
                         status.received != 0 && status.received < evidence->status->received;
  if (!overtaken) {
    evidence->status = status;
  }
  this->CheckReplication(now);
}

void FailureDetector::OnProbeFailed(const std::string& endpoint,
                                    ProbeOutcome outcome,
                                    TimePoint now) {
  Evidence* evidence = this->Find(endpoint);
  if (evidence == nullptr || outcome == ProbeOutcome::kAnswered) {
    return;
  }
  if (outcome == ProbeOutcome::kRefused) {
    evidence->probing = false;
    evidence->refused = true;
    ++evidence->missed;
    this->Suspect(endpoint, evidence, now);
  } else if (evidence->probing) {
    this->Miss(endpoint, evidence, now);
  }
}

void FailureDetector::Miss(const std::string& endpoint, Evidence* evidence, TimePoint now) {
  evidence->probing = false;
  ++evidence->missed;
  if (evidence->missed >= this->options.missed_probes) {
    this->Suspect(endpoint, evidence, now);
  }
}

void FailureDetector::OnReport(const std::string& endpoint, TimePoint now) {
  Evidence* evidence = this->Find(endpoint);
  if (evidence != nullptr) {
    this->Suspect(endpoint, evidence, now);
  }
}

void FailureDetector::Suspect(const std::string& endpoint, Evidence* evidence, TimePoint now) {
  if (evidence->confirming || now < evidence->next_confirm) {
    return;
  }
  evidence->confirming = true;
  evidence->confirm_start = now;
  evidence->next_confirm = now + this->options.declare_interval;
  evidence->fresh.reset();
  evidence->observed.reset();
  evidence->observers_asked = 0;
  this->Add(DetectorActionKind::kProbeFresh, endpoint);
  this->Add(DetectorActionKind::kAskObserver, endpoint);
}

void FailureDetector::OnFreshProbe(const std::string& endpoint,
                                   ProbeOutcome outcome,
                                   TimePoint now) {
  Evidence* evidence = this->Find(endpoint);
  if (evidence != nullptr && evidence->confirming) {
    evidence->fresh = outcome;
    this->Conclude(endpoint, evidence, now);
  }
}

void FailureDetector::OnObservation(const std::string& endpoint,
                                    std::optional<ProbeOutcome> outcome,
                                    TimePoint now) {
  Evidence* evidence = this->Find(endpoint);
  if (evidence == nullptr || !evidence->confirming) {
    return;
  }
  if (!outcome) {
    ++evidence->observers_asked;
    if (evidence->observers_asked < this->options.max_observers) {
      this->Add(DetectorActionKind::kAskObserver, endpoint);
      this->actions.back().attempt = evidence->observers_asked;
    } else {
      evidence->confirming = false;
    }
    return;
  }
  evidence->observed = outcome;
  this->Conclude(endpoint, evidence, now);
}

void FailureDetector::Conclude(const std::string& endpoint, Evidence* evidence, TimePoint now) {
  if (evidence->fresh == ProbeOutcome::kAnswered || evidence->observed == ProbeOutcome::kAnswered) {
    evidence->confirming = false;
    evidence->missed = 0;
    return;
  }
  if (!evidence->fresh || !evidence->observed) {
    return;
  }
  evidence->confirming = false;
  evidence->down = true;
  if (endpoint == this->group.primary) {
    const bool gone =
        evidence->fresh == ProbeOutcome::kRefused && evidence->observed == ProbeOutcome::kRefused;
    this->Declare(gone ? FailoverCause::kGone : FailoverCause::kSilent, now);
  }
}

std::optional<uint64_t> FailureDetector::ConfirmedIndex(TimePoint now) const {
  // Index that a majority has received, the primary included. Unknown unless every replica answers
  // at the primary's term, because a replica that does not answer may have received more.
  std::vector<uint64_t> received;
  for (const auto& [name, evidence] : this->endpoints) {
    if (name == this->group.primary) {
      continue;
    }
    const bool recent = now - evidence.answered <= this->options.stall_period;
    if (!evidence.status || !recent || evidence.status->term != this->group.term) {
      return std::nullopt;
    }
    received.push_back(evidence.status->received);
  }
  const size_t replicas_needed = this->endpoints.size() / 2;
  if (replicas_needed == 0) {
    return std::nullopt;
  }
  std::sort(received.begin(), received.end(), std::greater<>());
  return received[replicas_needed - 1];
}

void FailureDetector::CheckReplication(TimePoint now) {
  const Evidence* primary = this->Find(this->group.primary);
  const std::optional<uint64_t> confirmed = this->ConfirmedIndex(now);
  const bool unconfirmed = primary != nullptr && primary->status && confirmed &&
                           primary->status->term == this->group.term &&
                           now - primary->answered <= this->options.stall_period &&
                           primary->status->received > *confirmed;
  if (this->group.phase != GroupPhase::kServing || !unconfirmed) {
    this->stalled_since.reset();
    return;
  }
  if (!this->stalled_since || *confirmed > this->stalled_index) {
    this->stalled_since = now;
    this->stalled_index = *confirmed;
  } else if (now - *this->stalled_since >= this->options.stall_period) {
    this->Declare(FailoverCause::kStalled, now);
  }
}

void FailureDetector::CheckRole(TimePoint now) {
  // A primary that was restarted answers, but not as primary. It refuses the promotion of its term,
  // because its log does not end where the term started.
  const EndpointStatus* status = this->StatusOf(this->group.primary);
  if (this->group.phase != GroupPhase::kServing || status == nullptr ||
      (status->is_primary && status->term >= this->group.term)) {
    this->misplaced_since.reset();
    return;
  }
  if (!this->misplaced_since) {
    this->misplaced_since = now;
  } else if (now - *this->misplaced_since >= this->options.role_period &&
             this->Find(this->group.primary)->answered > *this->misplaced_since) {
    this->Declare(FailoverCause::kGone, now);
  }
}

void FailureDetector::CheckLeaving(TimePoint now) {
  const auto primary =
      std::find_if(this->group.endpoints.begin(), this->group.endpoints.end(),
                   [this](const EndpointInfo& each) { return each.name == this->group.primary; });
  if (this->group.phase != GroupPhase::kServing || primary == this->group.endpoints.end() ||
      !primary->leaving) {
    this->leaving_since.reset();
    return;
  }
  if (!this->leaving_since) {
    this->leaving_since = now;
  }
  // Owners send no new work to a leaving endpoint. The promotion waits until the statements that
  // still run there have ended, because the fence would interrupt them.
  const EndpointStatus* status = this->StatusOf(this->group.primary);
  const bool heard_since = this->Find(this->group.primary)->answered > *this->leaving_since;
  const bool idle = heard_since && status != nullptr && status->active == 0 &&
                    now - *this->leaving_since >= this->options.probe_interval * 2;
  if (idle || now - *this->leaving_since >= this->options.leaving_patience) {
    this->Declare(FailoverCause::kLeaving, now);
  }
}

}  // namespace poplarmoor
