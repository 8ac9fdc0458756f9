#include <algorithm>

#include "tests/kernel/fault_world.h"

namespace poplarmoor {

// --- Faults -------------------------------------------------------------------------------------

void FaultWorld::Hook(const ForwardPtr& forward, Step step) {
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

void FaultWorld::Inject(Fault fault, Step step, const ForwardPtr& forward) {
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

void FaultWorld::Crash(const std::string& name) {
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
    this->After(kHop, [this, forward] {
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

void FaultWorld::KillOwner(const std::string& name) {
  Owner& owner = this->OwnerOf(name);
  for (const ForwardPtr& forward : owner.forwards) {
    forward->responded = true;
    this->After(kHop, [this, forward] {
      this->ReturnToEntry(forward, MakeResult(Verdict::kMayHaveRun, Reason::kConnectionLost));
    });
  }
  const uint64_t generation = owner.generation;
  owner = Owner();
  owner.generation = generation + 1;
  owner.up_since = this->now + 20ms;
  this->SetTerms(&owner);
  this->After(kHop, [this, name] { this->EndpointOf(name).transactions.clear(); });
}

void FaultWorld::Promote(bool old_primary_hears, Duration entry_delay) {
  const std::string old = this->state.primary;
  if (!old_primary_hears) {
    this->cut_off.insert(old);
  }
  FakeEndpoint* best = nullptr;
  std::vector<FakeEndpoint*> electors;
  for (FakeEndpoint& endpoint : this->endpoints) {
    if (endpoint.is_alive && !this->cut_off.contains(endpoint.name)) {
      electors.push_back(&endpoint);
      // The old primary loses a tie, so that each promotion moves the role where it can.
      const bool better = best == nullptr || best->Last() < endpoint.Last() ||
                          (best->Last() == endpoint.Last() && best->name == old);
      best = better ? &endpoint : best;
    }
  }
  if (electors.size() < 2) {
    this->After(100ms, [this] { this->Promote(true, 5ms); });
  } else {
    ++this->state.term;
    ++this->state.version;
    for (FakeEndpoint* elector : electors) {
      elector->Fence(this->state.term);
    }
    this->state.primary = best->name;
    this->state.term_starts.push_back({this->state.term, best->log.size()});
    best->Promote();
    for (Owner& owner : this->owners) {
      this->SetTerms(&owner);
    }
    this->After(entry_delay, [this, published = this->state] {
      this->view.SetState(published);
      for (const DrivePtr& drive : std::set<DrivePtr>(this->drives)) {
        this->Act(drive, drive->machine.OnTimer(this->Context()));
      }
    });
  }
  if (!old_primary_hears) {
    this->After(300ms, [this, old] {
      this->cut_off.erase(old);
      if (this->EndpointOf(old).term < this->state.term) {
        this->EndpointOf(old).Fence(this->state.term);
      }
    });
  }
}

void FaultWorld::SetTerms(Owner* owner) {
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

void FaultWorld::Maintain() {
  this->Replicate();
  for (const EndpointInfo& info : this->state.endpoints) {
    Owner& owner = this->OwnerOf(info.name);
    for (const FakeEndpoint& endpoint : this->endpoints) {
      // An endpoint that is down or cut off does not answer the status long poll.
      if (!endpoint.is_alive || this->cut_off.contains(endpoint.name)) {
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

void FaultWorld::Replicate() {
  if (this->now < this->replicas_stalled_until) {
    return;
  }
  for (FakeEndpoint& replica : this->endpoints) {
    if (replica.is_primary || !replica.is_alive || this->cut_off.contains(replica.name)) {
      continue;
    }
    for (const FakeEndpoint& primary : this->endpoints) {
      if (primary.is_primary && primary.is_alive && !this->cut_off.contains(primary.name) &&
          primary.term == replica.term) {
        replica.replayed = replica.log.size();  // Replay trails receipt by one round.
        replica.CopyLog(primary);
      }
    }
  }
}

}  // namespace poplarmoor
