#include "kernel/failure_detector.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace poplarmoor {

std::vector<DetectorAction> FailureDetector::TakeActions() {
  return std::exchange(this->actions, {});
}

FailureDetector::EndpointHealth* FailureDetector::Find(const std::string& endpoint) {
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
    this->wrong_role_since.reset();
  }
  this->group = group;
  std::erase_if(this->endpoints, [&group](const auto& entry) {
    return std::none_of(group.endpoints.begin(), group.endpoints.end(),
                        [&entry](const EndpointInfo& each) { return each.name == entry.first; });
  });
  for (const EndpointInfo& endpoint : group.endpoints) {
    const auto [found, is_new] = this->endpoints.try_emplace(endpoint.name);
    if (is_new) {
      found->second.answered_at = now;
      found->second.next_probe = now;
    }
  }
}

void FailureDetector::AddAction(DetectorActionKind kind, const std::string& endpoint) {
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
  this->AddAction(DetectorActionKind::kReplacePrimary, this->group.primary);
  this->actions.back().cause = cause;
}

void FailureDetector::Tick(TimePoint now) {
  for (auto& [name, endpoint_health] : this->endpoints) {
    if (endpoint_health.probing &&
        now >= endpoint_health.probe_sent + this->options.probe_timeout) {
      this->RecordMissedProbe(name, &endpoint_health, now);
    }
    if (now >= endpoint_health.next_probe) {
      endpoint_health.next_probe = now + this->options.probe_interval;
      endpoint_health.probe_sent = now;
      endpoint_health.probing = true;
      this->AddAction(DetectorActionKind::kProbe, name);
    }
    if (endpoint_health.confirming &&
        now >= endpoint_health.confirm_start + this->options.confirm_timeout * 2) {
      // The calls that confirm whether the endpoint is down have their own timeouts. If their
      // outcome is never reported, the confirmation is given up after twice confirm_timeout.
      endpoint_health.confirming = false;
    }
  }
  this->CheckReplication(now);
  this->CheckRole(now);
  this->CheckLeaving(now);
}

void FailureDetector::OnStatus(const EndpointStatus& status, TimePoint now) {
  EndpointHealth* endpoint_health = this->Find(status.endpoint);
  if (endpoint_health == nullptr) {
    return;
  }
  endpoint_health->answered_at = now;
  endpoint_health->probing = false;
  endpoint_health->missed = 0;
  endpoint_health->refused = false;
  endpoint_health->down = false;
  // Even an answer after the probe timeout shows that the endpoint is alive.
  endpoint_health->confirming = false;
  // Answers may arrive out of order. While role and term stay the same, the received log index only
  // grows, so an answer with a lower index is outdated.
  const bool outdated = endpoint_health->status && status.term == endpoint_health->status->term &&
                        status.is_primary == endpoint_health->status->is_primary &&
                        status.received != 0 && status.received < endpoint_health->status->received;
  if (!outdated) {
    endpoint_health->status = status;
  }
  this->CheckReplication(now);
}

void FailureDetector::OnProbeFailed(const std::string& endpoint,
                                    ProbeOutcome outcome,
                                    TimePoint now) {
  EndpointHealth* endpoint_health = this->Find(endpoint);
  if (endpoint_health == nullptr || outcome == ProbeOutcome::kAnswered) {
    return;
  }
  if (outcome == ProbeOutcome::kRefused) {
    endpoint_health->probing = false;
    endpoint_health->refused = true;
    ++endpoint_health->missed;
    this->StartConfirmation(endpoint, endpoint_health, now);
  } else if (endpoint_health->probing) {
    this->RecordMissedProbe(endpoint, endpoint_health, now);
  }
}

void FailureDetector::RecordMissedProbe(const std::string& endpoint,
                                        EndpointHealth* endpoint_health,
                                        TimePoint now) {
  endpoint_health->probing = false;
  ++endpoint_health->missed;
  if (endpoint_health->missed >= this->options.missed_probes) {
    this->StartConfirmation(endpoint, endpoint_health, now);
  }
}

void FailureDetector::OnSuspicion(const std::string& endpoint, TimePoint now) {
  EndpointHealth* endpoint_health = this->Find(endpoint);
  if (endpoint_health != nullptr) {
    this->StartConfirmation(endpoint, endpoint_health, now);
  }
}

void FailureDetector::StartConfirmation(const std::string& endpoint,
                                        EndpointHealth* endpoint_health,
                                        TimePoint now) {
  if (endpoint_health->confirming || now < endpoint_health->next_confirm) {
    return;
  }
  endpoint_health->confirming = true;
  endpoint_health->confirm_start = now;
  endpoint_health->next_confirm = now + this->options.declare_interval;
  endpoint_health->fresh_outcome.reset();
  endpoint_health->observer_outcome.reset();
  endpoint_health->observers_asked = 0;
  this->AddAction(DetectorActionKind::kProbeFresh, endpoint);
  this->AddAction(DetectorActionKind::kAskObserver, endpoint);
}

void FailureDetector::OnFreshProbe(const std::string& endpoint,
                                   ProbeOutcome outcome,
                                   TimePoint now) {
  EndpointHealth* endpoint_health = this->Find(endpoint);
  if (endpoint_health != nullptr && endpoint_health->confirming) {
    endpoint_health->fresh_outcome = outcome;
    this->EvaluateConfirmation(endpoint, endpoint_health, now);
  }
}

void FailureDetector::OnObservation(const std::string& endpoint,
                                    std::optional<ProbeOutcome> outcome,
                                    TimePoint now) {
  EndpointHealth* endpoint_health = this->Find(endpoint);
  if (endpoint_health == nullptr || !endpoint_health->confirming) {
    return;
  }
  if (!outcome) {
    ++endpoint_health->observers_asked;
    if (endpoint_health->observers_asked < this->options.max_observers) {
      this->AddAction(DetectorActionKind::kAskObserver, endpoint);
      this->actions.back().attempt = endpoint_health->observers_asked;
    } else {
      endpoint_health->confirming = false;
    }
    return;
  }
  endpoint_health->observer_outcome = outcome;
  this->EvaluateConfirmation(endpoint, endpoint_health, now);
}

void FailureDetector::EvaluateConfirmation(const std::string& endpoint,
                                           EndpointHealth* endpoint_health,
                                           TimePoint now) {
  if (endpoint_health->fresh_outcome == ProbeOutcome::kAnswered ||
      endpoint_health->observer_outcome == ProbeOutcome::kAnswered) {
    endpoint_health->confirming = false;
    endpoint_health->missed = 0;
    return;
  }
  if (!endpoint_health->fresh_outcome || !endpoint_health->observer_outcome) {
    return;
  }
  endpoint_health->confirming = false;
  endpoint_health->down = true;
  if (endpoint == this->group.primary) {
    const bool gone = endpoint_health->fresh_outcome == ProbeOutcome::kRefused &&
                      endpoint_health->observer_outcome == ProbeOutcome::kRefused;
    this->Declare(gone ? FailoverCause::kGone : FailoverCause::kSilent, now);
  }
}

std::optional<uint64_t> FailureDetector::MajorityIndex(TimePoint now) const {
  // Computes the highest log index that a majority of the endpoints, including the primary, has
  // received. The index is unknown unless every replica has answered recently in the group's term,
  // because a replica that does not answer may have received more.
  std::vector<uint64_t> received;
  for (const auto& [name, endpoint_health] : this->endpoints) {
    if (name == this->group.primary) {
      continue;
    }
    const bool recent = now - endpoint_health.answered_at <= this->options.stall_timeout;
    if (!endpoint_health.status || !recent || endpoint_health.status->term != this->group.term) {
      return std::nullopt;
    }
    received.push_back(endpoint_health.status->received);
  }
  const size_t replicas_needed = this->endpoints.size() / 2;
  if (replicas_needed == 0) {
    return std::nullopt;
  }
  std::sort(received.begin(), received.end(), std::greater<>());
  return received[replicas_needed - 1];
}

void FailureDetector::CheckReplication(TimePoint now) {
  const EndpointHealth* primary = this->Find(this->group.primary);
  const std::optional<uint64_t> majority_index = this->MajorityIndex(now);
  const bool unconfirmed = primary != nullptr && primary->status && majority_index &&
                           primary->status->term == this->group.term &&
                           now - primary->answered_at <= this->options.stall_timeout &&
                           primary->status->received > *majority_index;
  if (this->group.phase != GroupPhase::kServing || !unconfirmed) {
    this->stalled_since.reset();
    return;
  }
  if (!this->stalled_since || *majority_index > this->stalled_index) {
    this->stalled_since = now;
    this->stalled_index = *majority_index;
  } else if (now - *this->stalled_since >= this->options.stall_timeout) {
    this->Declare(FailoverCause::kStalled, now);
  }
}

void FailureDetector::CheckRole(TimePoint now) {
  // A restarted primary answers, but not as primary, and is declared gone so that a new term
  // begins. It cannot be promoted again in its own term: an endpoint refuses a promotion unless its
  // log ends where the term starts, and the log of the restarted primary does not end there.
  const EndpointStatus* status = this->StatusOf(this->group.primary);
  if (this->group.phase != GroupPhase::kServing || status == nullptr ||
      (status->is_primary && status->term >= this->group.term)) {
    this->wrong_role_since.reset();
    return;
  }
  if (!this->wrong_role_since) {
    this->wrong_role_since = now;
  } else if (now - *this->wrong_role_since >= this->options.wrong_role_timeout &&
             this->Find(this->group.primary)->answered_at > *this->wrong_role_since) {
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
  // Owner daemons send no new work to a leaving endpoint. The primary is replaced once its
  // running statements have ended or leaving_timeout has passed, because the `fence` request
  // interrupts statements that are still running.
  const EndpointStatus* status = this->StatusOf(this->group.primary);
  const bool answered_since = this->Find(this->group.primary)->answered_at > *this->leaving_since;
  const bool idle = answered_since && status != nullptr && status->active == 0 &&
                    now - *this->leaving_since >= this->options.probe_interval * 2;
  if (idle || now - *this->leaving_since >= this->options.leaving_timeout) {
    this->Declare(FailoverCause::kLeaving, now);
  }
}

}  // namespace poplarmoor
