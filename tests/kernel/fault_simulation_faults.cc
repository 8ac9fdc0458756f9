#include <algorithm>

#include "tests/kernel/fault_simulation.h"

namespace poplarmoor {

// --- Faults -------------------------------------------------------------------------------------

void FaultSimulation::OnStep(const ForwardPtr& forward, Step step) {
  if (forward->request.request_id != "target") {
    return;
  }
  const auto due = std::stable_partition(this->armed.begin(), this->armed.end(),
                                         [&](const auto& each) { return each.second != step; });
  const std::vector<std::pair<Fault, Step>> faults(due, this->armed.end());
  this->armed.erase(due, this->armed.end());
  for (const auto& [fault, at] : faults) {
    this->Inject(fault, at, forward);
  }
}

void FaultSimulation::Inject(Fault fault, Step step, const ForwardPtr& forward) {
  const bool answered = step == Step::kBeforeConfirmation;
  Owner& owner = this->OwnerOf(forward->endpoint);
  switch (fault) {
    case Fault::kEndpointCrash:
      this->Crash(forward->endpoint);
      break;
    case Fault::kSilentConnection:
      for (uint64_t id = 0; id < kMaxConnectionId; ++id) {
        owner.silent.insert(id);
      }
      break;
    case Fault::kLateAnswer:
      (answered ? forward->late_response : forward->late) = true;
      break;
    case Fault::kCrossedAnswer:
      (answered ? forward->lost_response : forward->crossed) = true;
      break;
    case Fault::kFencedTerm:
      this->Promote(true, 100ms);
      break;
    case Fault::kReplicaBehind:
      this->replicas_stalled_until = this->now + 300ms;
      break;
    case Fault::kDaemonDeath:
      this->KillOwner(forward->endpoint);
      break;
    case Fault::kPromotion:
      this->Promote(false, 5ms);
      break;
  }
}

void FaultSimulation::Crash(const std::string& name) {
  FakeEndpoint& endpoint = this->EndpointOf(name);
  endpoint.is_alive = false;
  endpoint.transactions.clear();
  Owner& owner = this->OwnerOf(name);
  for (uint64_t id = 0; id < kMaxConnectionId; ++id) {
    owner.pool.OnClosed(id);
  }
  owner.transactions.EndAll(name);
  owner.pending.clear();
  for (const ForwardPtr& forward : std::set<ForwardPtr>(owner.forwards)) {
    this->After(kHopDelay, [this, forward] {
      this->Respond(forward, MakeResult(Verdict::kMayHaveRun, Reason::kConnectionLost));
    });
  }
  if (this->state.primary == name) {
    this->After(100ms, [this] { this->Promote(true, 5ms); });
  }
  this->After(500ms, [this, &endpoint] {
    endpoint.is_alive = true;
    if (endpoint.term < this->state.term) {
      endpoint.Fence(this->state.term);
    }
  });
}

void FaultSimulation::KillOwner(const std::string& name) {
  Owner& owner = this->OwnerOf(name);
  for (const ForwardPtr& forward : owner.forwards) {
    forward->responded = true;
    this->After(kHopDelay, [this, forward] {
      this->ReturnToEntry(forward, MakeResult(Verdict::kMayHaveRun, Reason::kConnectionLost));
    });
  }
  const uint64_t generation = owner.generation;
  owner = Owner();
  owner.generation = generation + 1;
  owner.up_since = this->now + 20ms;
  this->SetTerms(&owner);
  this->After(kHopDelay, [this, name] { this->EndpointOf(name).transactions.clear(); });
}

void FaultSimulation::Promote(bool notify_old_primary, Duration entry_delay) {
  const std::string old = this->state.primary;
  if (!notify_old_primary) {
    this->disconnected.insert(old);
  }
  FakeEndpoint* best = nullptr;
  std::vector<FakeEndpoint*> voters;
  for (FakeEndpoint& endpoint : this->endpoints) {
    if (endpoint.is_alive && !this->disconnected.contains(endpoint.name)) {
      voters.push_back(&endpoint);
      // Other endpoints win a tie against the old primary, so that a promotion changes the primary
      // if possible.
      const bool better = best == nullptr || best->Last() < endpoint.Last() ||
                          (best->Last() == endpoint.Last() && best->name == old);
      best = better ? &endpoint : best;
    }
  }
  if (voters.size() < 2) {
    this->After(100ms, [this] { this->Promote(true, 5ms); });
  } else {
    ++this->state.term;
    ++this->state.version;
    for (FakeEndpoint* voter : voters) {
      voter->Fence(this->state.term);
    }
    this->state.primary = best->name;
    this->state.term_starts.push_back({this->state.term, best->log.size()});
    best->Promote();
    for (Owner& owner : this->owners) {
      this->SetTerms(&owner);
    }
    this->After(entry_delay, [this, published = this->state] {
      this->view.SetState(published);
      for (const ActiveRequestPtr& active : std::set<ActiveRequestPtr>(this->active_requests)) {
        this->Perform(active, active->machine.OnTimer(this->Context()));
      }
    });
  }
  if (!notify_old_primary) {
    this->After(300ms, [this, old] {
      this->disconnected.erase(old);
      if (this->EndpointOf(old).term < this->state.term) {
        this->EndpointOf(old).Fence(this->state.term);
      }
    });
  }
}

void FaultSimulation::SetTerms(Owner* owner) {
  std::vector<std::string> replicas;
  for (const EndpointInfo& info : this->state.endpoints) {
    if (info.name != this->state.primary) {
      replicas.push_back(info.name);
    }
  }
  for (uint64_t id : owner->tracker.SetTerm(this->state.term, replicas, 1, this->now)) {
    owner->confirmations.extract(id).mapped()(false);
  }
}

// --- Maintenance --------------------------------------------------------------------------------

void FaultSimulation::Maintain() {
  this->Replicate();
  for (const EndpointInfo& info : this->state.endpoints) {
    Owner& owner = this->OwnerOf(info.name);
    for (const FakeEndpoint& endpoint : this->endpoints) {
      // An endpoint that is down or disconnected does not answer a long poll for its status.
      if (!endpoint.is_alive || this->disconnected.contains(endpoint.name)) {
        continue;
      }
      for (uint64_t id : owner.tracker.OnStatus(endpoint.Status(), this->now)) {
        owner.confirmations.extract(id).mapped()(true);
      }
    }
    for (uint64_t id : owner.tracker.TakeExpired(this->now)) {
      owner.confirmations.extract(id).mapped()(false);
    }
    for (const auto& transaction : owner.transactions.Expire(this->now)) {
      owner.pool.Release(transaction.connection, false, this->now);
      this->Close(info.name, transaction.connection);
    }
    this->OpenConnections(info.name, 0);
  }
  this->After(10ms, [this] { this->Maintain(); });
}

void FaultSimulation::Replicate() {
  if (this->now < this->replicas_stalled_until) {
    return;
  }
  for (FakeEndpoint& replica : this->endpoints) {
    if (replica.is_primary || !replica.is_alive || this->disconnected.contains(replica.name)) {
      continue;
    }
    for (const FakeEndpoint& primary : this->endpoints) {
      if (primary.is_primary && primary.is_alive && !this->disconnected.contains(primary.name) &&
          primary.term == replica.term) {
        // The replica replays the entries that it received in the previous call of Replicate().
        replica.replayed = replica.log.size();
        replica.CopyLog(primary);
      }
    }
  }
}

}  // namespace poplarmoor
