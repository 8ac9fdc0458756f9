#include "tests/kernel/simulated_group.h"

#include <algorithm>

namespace poplarmoor {

namespace {

constexpr Duration kMinHop = 300us;
constexpr Duration kHopJitter = 1700us;
constexpr Duration kMaxReplicationDelay = 40ms;  // Of some log entries.

}  // namespace

SimulatedGroup::Endpoint* SimulatedGroup::Add(std::vector<uint32_t> log) {
  auto endpoint = std::make_unique<Endpoint>();
  endpoint->node = static_cast<int>(this->endpoints.size());
  endpoint->id = "e" + std::to_string(endpoint->node);
  endpoint->log = std::move(log);
  if (this->endpoints.empty()) {
    endpoint->primary = true;
    this->leader = endpoint.get();
  }
  this->endpoints.push_back(std::move(endpoint));
  return this->endpoints.back().get();
}

SimulatedGroup::Endpoint* SimulatedGroup::Find(const std::string& id) {
  for (const auto& endpoint : this->endpoints) {
    if (endpoint->id == id) {
      return endpoint.get();
    }
  }
  return nullptr;
}

SimulatedReport SimulatedGroup::Execute(SimulatedOrder order, uint64_t term, Endpoint* endpoint) {
  if (order == SimulatedOrder::kPause && !endpoint->primary && term > endpoint->term) {
    endpoint->pause_term = std::max(endpoint->pause_term, term);
  } else if (order == SimulatedOrder::kResume) {
    endpoint->pause_term = 0;
  } else if (order == SimulatedOrder::kStepDown && endpoint->primary && endpoint->term < term) {
    this->StopLeading(endpoint);
  }
  return {true,
          endpoint->primary,
          endpoint->term,
          endpoint->End(),
          endpoint->pause_term,
          endpoint->incarnation};
}

void SimulatedGroup::StopLeading(Endpoint* endpoint) {
  endpoint->primary = false;
  this->waiting.clear();
}

void SimulatedGroup::Write(Endpoint* endpoint, std::function<void(const SimulatedCommit&)> answer) {
  if (!endpoint->primary) {
    answer({false, true, {}, {}});
    return;
  }
  endpoint->log.push_back(static_cast<uint32_t>(endpoint->term));
  this->waiting.push_back({endpoint->End(), std::move(answer)});
  this->Replicate();
}

bool SimulatedGroup::Receives(const Endpoint& primary, const Endpoint& replica) const {
  return primary.primary && primary.running && replica.running && !replica.primary &&
         replica.pause_term == 0 && !replica.deaf && replica.term <= primary.term &&
         this->network->Connects(primary.node, replica.node, this->clock->Now());
}

void SimulatedGroup::Replicate() {
  if (!this->leader->primary || !this->leader->running) {
    return;
  }
  for (const auto& replica : this->endpoints) {
    if (replica.get() != this->leader && replica->End() != this->leader->End() &&
        this->Receives(*this->leader, *replica)) {
      this->Send(this->leader, replica.get());
    }
  }
}

void SimulatedGroup::Send(Endpoint* primary, Endpoint* replica) {
  const int incarnation = primary->incarnation;
  const uint64_t term = primary->term;
  const size_t end = primary->log.size();
  const Duration delay = kMinHop + RandomDuration(this->random, RandomBelow(this->random, 8) == 0
                                                                    ? kMaxReplicationDelay
                                                                    : kHopJitter);
  this->clock->After(delay, [=, this] {
    if (primary->incarnation != incarnation || primary->term != term ||
        !this->Receives(*primary, *replica)) {
      return;
    }
    const bool follows = replica->term == term && replica->log.size() >= end &&
                         (end == 0 || replica->log[end - 1] == primary->log[end - 1]);
    if (!follows) {
      replica->log.assign(primary->log.begin(), primary->log.begin() + static_cast<long>(end));
      replica->term = term;
    }
    this->clock->After(kMinHop + RandomDuration(this->random, kHopJitter), [=, this] {
      if (this->network->Connects(primary->node, replica->node, this->clock->Now())) {
        this->Acknowledge(primary, incarnation, term, end);
      }
    });
  });
}

void SimulatedGroup::Acknowledge(Endpoint* primary,
                                 int incarnation,
                                 uint64_t term,
                                 uint64_t received) {
  if (!primary->primary || !primary->running || primary->incarnation != incarnation ||
      primary->term != term) {
    return;
  }
  std::vector<WaitingCommit> done;
  std::erase_if(this->waiting, [&](WaitingCommit& commit) {
    if (commit.entry.index > received) {
      return false;
    }
    done.push_back(std::move(commit));
    return true;
  });
  for (const WaitingCommit& commit : done) {
    commit.answer({true, false, commit.entry, primary->End()});
  }
}

void SimulatedGroup::Crash(Endpoint* endpoint) {
  endpoint->running = false;
  endpoint->stopped = this->clock->Now();
  ++endpoint->incarnation;
  endpoint->pause_term = 0;
  if (endpoint->primary) {
    this->waiting.clear();
  }
}

void SimulatedGroup::Restart(Endpoint* endpoint, bool keeps_log) {
  if (endpoint->running || endpoint->gone) {
    return;
  }
  endpoint->running = true;
  if (!keeps_log) {
    endpoint->primary = false;
    endpoint->term = 0;
    this->LoseLog(endpoint);
  }
}

void SimulatedGroup::Remove(Endpoint* endpoint) {
  this->Crash(endpoint);
  endpoint->gone = true;
  this->LoseLog(endpoint);
}

void SimulatedGroup::LoseLog(Endpoint* endpoint) {
  const std::vector<uint32_t> lost = std::move(endpoint->log);
  endpoint->log.clear();
  endpoint->log_lost = endpoint->stopped;
  for (size_t index = lost.size(); index > 0; --index) {
    const LogPosition entry{lost[index - 1], index};
    const bool kept = std::any_of(this->endpoints.begin(), this->endpoints.end(),
                                  [&entry](const auto& other) { return other->Has(entry); });
    if (kept) {
      break;  // A log that has an entry has all entries before it, too.
    }
    this->destroyed.insert(entry);
  }
}

void SimulatedGroup::Promote(Endpoint* endpoint) {
  uint64_t term = 0;
  for (const auto& other : this->endpoints) {
    term = std::max(term, other->term);
    // A stopped endpoint starts as a replica if another one was promoted meanwhile.
    other->primary = false;
    other->pause_term = 0;
  }
  this->waiting.clear();
  endpoint->primary = true;
  endpoint->term = term + 1;
  this->leader = endpoint;
}

}  // namespace poplarmoor
