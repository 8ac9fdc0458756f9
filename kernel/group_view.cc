#include "kernel/group_view.h"

#include <algorithm>
#include <utility>

namespace poplarmoor {

namespace {

// Maximum age of a status for Load() and EstimateReplayed() to use its load and staleness.
constexpr Duration kMaxStatusAge = 1000ms;
// Time after a failed request during which the endpoint counts as suspect, unless it answers
// earlier.
constexpr Duration kSuspectPeriod = 1000ms;
constexpr Duration kMinSampleInterval = 5ms;  // Minimum time between two log index samples.
// Maximum number of log index samples kept. They cover about 320 ms at the minimum interval, and
// more at longer intervals.
constexpr size_t kMaxSamples = 64;
// Time that EstimateReplayed() adds to the staleness in a replica's status, because the status took
// some time to arrive.
constexpr Duration kReplayMargin = 2ms;

}  // namespace

GroupView::GroupView(const GroupState& state) {
  this->SetState(state);
}

bool GroupView::SetState(const GroupState& state) {
  if (state.term < this->state.term ||
      (state.term == this->state.term && state.version < this->state.version)) {
    return false;
  }
  if (state.term != this->state.term) {
    this->samples.clear();
  }
  std::vector<Endpoint> updated;
  for (const EndpointInfo& info : state.endpoints) {
    Endpoint endpoint;
    if (const Endpoint* known = this->Find(info.name)) {
      endpoint = *known;
    }
    endpoint.info = info;
    endpoint.is_primary = state.phase == GroupPhase::kServing && info.name == state.primary;
    updated.push_back(std::move(endpoint));
  }
  this->state = state;
  this->endpoints = std::move(updated);
  return true;
}

bool GroupView::OnStatus(const EndpointStatus& status, TimePoint now) {
  Endpoint* endpoint = this->FindMutable(status.endpoint);
  if (endpoint == nullptr) {
    return false;
  }
  endpoint->failed_at.reset();
  if (endpoint->status && status.term < endpoint->status->term) {
    return false;  // An outdated answer: answers may arrive out of order, and terms never decrease.
  }
  endpoint->status = status;
  endpoint->status_time = now;
  if (endpoint->is_primary && status.term == this->state.term &&
      (this->samples.empty() || (this->samples.back().index < status.received &&
                                 now - this->samples.back().time >= kMinSampleInterval))) {
    this->samples.push_back({now, status.received});
    if (this->samples.size() > kMaxSamples) {
      this->samples.pop_front();
    }
  }
  return status.term > this->state.term;
}

void GroupView::OnSent(const std::string& endpoint) {
  if (Endpoint* found = this->FindMutable(endpoint)) {
    ++found->outstanding;
  }
}

void GroupView::OnDone(const std::string& endpoint, bool failed, TimePoint now) {
  if (Endpoint* found = this->FindMutable(endpoint)) {
    found->outstanding = std::max(0, found->outstanding - 1);
    if (failed) {
      found->failed_at = now;
    }
  }
}

const GroupView::Endpoint* GroupView::Find(const std::string& name) const {
  for (const Endpoint& endpoint : this->endpoints) {
    if (endpoint.info.name == name) {
      return &endpoint;
    }
  }
  return nullptr;
}

GroupView::Endpoint* GroupView::FindMutable(const std::string& name) {
  return const_cast<Endpoint*>(std::as_const(*this).Find(name));
}

const GroupView::Endpoint* GroupView::UsablePrimary() const {
  for (const Endpoint& endpoint : this->endpoints) {
    if (endpoint.is_primary && !endpoint.info.leaving) {
      return &endpoint;
    }
  }
  return nullptr;
}

uint64_t GroupView::EstimateReplayed(const Endpoint& endpoint, TimePoint now) const {
  if (!endpoint.status || endpoint.status->term != this->state.term) {
    return 0;
  }
  uint64_t replayed = endpoint.status->replayed;
  if (!this->IsCurrent(endpoint, now)) {
    return replayed;
  }
  const TimePoint replayed_until = now - endpoint.status->staleness - kReplayMargin;
  for (auto sample = this->samples.rbegin(); sample != this->samples.rend(); ++sample) {
    if (sample->time <= replayed_until) {
      replayed = std::max(replayed, sample->index);
      break;
    }
  }
  return replayed;
}

int GroupView::Load(const Endpoint& endpoint, TimePoint now) const {
  return std::max(endpoint.outstanding,
                  this->IsCurrent(endpoint, now) ? endpoint.status->active : 0);
}

bool GroupView::IsCurrent(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.status && now - endpoint.status_time <= kMaxStatusAge;
}

bool GroupView::IsSuspect(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.failed_at && now - *endpoint.failed_at < kSuspectPeriod;
}

bool GroupView::IsLost(LogPosition position) const {
  return std::any_of(this->state.term_starts.begin(), this->state.term_starts.end(),
                     [&](const TermStart& start) {
                       return start.term > position.term && start.index < position.index;
                     });
}

}  // namespace poplarmoor
