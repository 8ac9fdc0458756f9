#include "tests/kernel/limit_simulation.h"

#include <algorithm>
#include <cmath>

namespace poplarmoor {

namespace {

constexpr Duration kListInterval = 15s;
constexpr Duration kEntryInterval = 45s;
constexpr Duration kExpiry = 135s;
constexpr Duration kTick = 500ms;
constexpr Duration kWindow = 5s;
constexpr char kName[] = "school";

double Uniform(RandomEngine* random) {
  return static_cast<double>(RandomBelow(random, 1'000'000) + 1) / 1'000'001.0;
}

}  // namespace

LimitSimulation::LimitSimulation(size_t domains, size_t daemons, double rate, uint64_t seed)
    : rate(rate), previous_rate(rate), engine(seed) {
  this->organisations.Add({kName, rate, rate}, {});
  for (size_t i = 0; i < daemons; ++i) {
    auto daemon = std::make_unique<Daemon>();
    daemon->domain = i % domains;
    daemon->peer = {"d" + std::to_string(i), "a" + std::to_string(i),
                    "fd" + std::to_string(daemon->domain)};
    daemon->issuer = std::make_unique<TokenIssuer>(daemon->peer, 5s, 20);
    this->daemons.push_back(std::move(daemon));
  }
  for (const auto& daemon : this->daemons) {
    this->WriteEntry(daemon.get(), /*first_fleet_start=*/true);
  }
  for (const auto& daemon : this->daemons) {
    this->List(daemon.get());
    daemon->next_listing = this->now + RandomDuration(&this->engine, kListInterval);
  }
  this->Advance(5s);
}

bool LimitSimulation::Reaches(const Daemon& from, const Daemon& to) const {
  return to.alive && (from.domain == to.domain || (!this->cut_domains.contains(from.domain) &&
                                                   !this->cut_domains.contains(to.domain)));
}

void LimitSimulation::WriteEntry(Daemon* daemon, bool first_fleet_start) {
  const auto found = this->store.find(daemon->peer.daemon);
  const bool is_young =
      found != this->store.end() && this->now - found->second.written < kExpiry - kListInterval;
  this->store[daemon->peer.daemon] = {daemon->peer, this->now};
  daemon->next_entry_write = this->now + kEntryInterval;
  EntryWrite write;
  write.known = first_fleet_start || is_young;
  write.sent = this->now;
  write.validity = kExpiry - kListInterval;
  write.listed_after = 45s;

  daemon->permission.NoteEntryWritten(write);
}

void LimitSimulation::List(Daemon* daemon) {
  std::map<std::string, Peer> live = daemon->announced;
  for (const auto& [name, entry] : this->store) {
    if (this->now - entry.written < kExpiry) {
      live[name] = entry.peer;
    }
  }
  live[daemon->peer.daemon] = daemon->peer;
  std::vector<Peer> peers;
  for (const auto& [name, peer] : live) {
    peers.push_back(peer);
  }
  daemon->plan = IssuerPlan(peers);
  daemon->issuers = daemon->plan.NearestIssuers(kName, daemon->peer, {});
  this->Follow(daemon, true);
}

void LimitSimulation::Follow(Daemon* daemon, bool changed) {
  const bool may_issue = daemon->permission.MayIssue(this->now);
  if (!changed && may_issue == daemon->issuing) {
    return;
  }
  daemon->issuing = may_issue;
  if (may_issue) {
    daemon->issuer->Update(daemon->plan, this->organisations, this->now);
  } else {
    daemon->issuer->Clear();
  }
}

void LimitSimulation::Announce(Daemon* daemon) {
  const bool established =
      !daemon->plan.AffectsOtherDomains(daemon->peer) &&
      std::any_of(this->daemons.begin(), this->daemons.end(), [&](const auto& other) {
        return other.get() != daemon && other->domain == daemon->domain && other->alive &&
               other->permission.MayIssue(this->now);
      });
  if (established) {
    daemon->permission.NoteDomainEstablished();
  }
  bool complete = true;
  for (const auto& other : this->daemons) {
    if (other->alive && (!established || other->domain == daemon->domain)) {
      if (this->Reaches(*daemon, *other)) {
        other->announced[daemon->peer.daemon] = daemon->peer;
        this->List(other.get());
      } else {
        complete = false;
      }
    }
  }
  if (complete) {
    daemon->permission.NoteAnnounced();
  }
}

void LimitSimulation::Tick() {
  for (const auto& daemon : this->daemons) {
    if (!daemon->alive) {
      continue;
    }
    const bool has_store = !this->cut_domains.contains(daemon->domain);
    if (has_store && this->now >= daemon->next_entry_write) {
      this->WriteEntry(daemon.get());
    }
    if (has_store && this->now >= daemon->next_listing) {
      this->List(daemon.get());
      daemon->next_listing = this->now + kListInterval;
    }
    if (daemon->permission.MustAnnounce(this->now)) {
      this->Announce(daemon.get());
    }
    this->Follow(daemon.get(), false);
  }
}

void LimitSimulation::Advance(Duration duration) {
  const TimePoint end = this->now + duration;
  while (this->now < end) {
    const TimePoint next_tick = TimePoint((this->now.time_since_epoch() / kTick + 1) * kTick);
    if (next_tick > end) {
      this->now = end;
      break;
    }
    this->now = next_tick;
    this->Tick();
  }
}

void LimitSimulation::SetRate(double next_rate) {
  this->previous_rate = std::max(this->previous_rate, this->rate);
  this->previous_until = this->now + kWindow;
  this->rate = next_rate;
  this->organisations = OrganisationTable();
  this->organisations.Add({kName, next_rate, next_rate}, {});
  for (const auto& daemon : this->daemons) {
    this->Follow(daemon.get(), true);
  }
}

void LimitSimulation::SetDomainCut(size_t domain, bool cut) {
  if (cut) {
    this->cut_domains.insert(domain);
  } else {
    this->cut_domains.erase(domain);
  }
}

void LimitSimulation::Kill(size_t daemon) {
  this->daemons[daemon]->alive = false;
}

void LimitSimulation::Restart(size_t index) {
  Daemon* daemon = this->daemons[index].get();
  daemon->alive = true;
  daemon->issuer->Clear();
  daemon->issuing = false;
  daemon->account = TokenAccount();
  daemon->permission = IssuerPermission();
  if (!this->cut_domains.contains(daemon->domain)) {
    this->WriteEntry(daemon);
    this->List(daemon);
  }
}

void LimitSimulation::AddDaemon(size_t domain) {
  if (this->cut_domains.contains(domain)) {
    return;  // A new daemon needs the store to learn of the fleet.
  }
  auto daemon = std::make_unique<Daemon>();
  const std::string number = std::to_string(this->daemons.size());
  daemon->domain = domain;
  daemon->peer = {"d" + number, "a" + number, "fd" + std::to_string(domain)};
  daemon->issuer = std::make_unique<TokenIssuer>(daemon->peer, 5s, 20);
  daemon->next_listing = this->now + 1s;
  this->WriteEntry(daemon.get());
  this->List(daemon.get());
  this->daemons.push_back(std::move(daemon));
}

bool LimitSimulation::TakeToken(Daemon* daemon) {
  daemon->account.NoteDemand(this->now);
  if (daemon->account.Take(this->now)) {
    return true;
  }
  for (const Peer& issuer : daemon->issuers) {
    if (!daemon->account.MayHaveToken(issuer.daemon, this->now)) {
      continue;
    }
    const bool is_self = issuer.daemon == daemon->peer.daemon;
    Daemon* target = this->daemons[std::stoul(issuer.daemon.substr(1))].get();
    if (!is_self && !this->Reaches(*daemon, *target)) {
      continue;
    }
    this->Follow(target, false);
    const uint32_t wanted = is_self ? 1 : daemon->account.Wanted(1, this->now);
    const TokenGrant grant = target->issuer->Issue(kName, wanted, this->now);
    daemon->account.NoteAnswer(issuer.daemon, grant, wanted, this->now, this->now);
    if (daemon->account.Take(this->now)) {
      return true;
    }
  }
  return false;
}

bool LimitSimulation::Operate(size_t index) {
  Daemon* daemon = this->daemons[index].get();
  if (!daemon->alive || !this->TakeToken(daemon)) {
    return false;
  }
  this->NoteServed();
  return true;
}

void LimitSimulation::NoteServed() {
  this->window.push_back(this->now);
  while (this->window.front() + kWindow <= this->now) {
    this->window.pop_front();
  }
  if (this->now >= this->previous_until) {
    this->previous_rate = this->rate;
  }
  const double allowed = std::max(this->rate, this->previous_rate);
  const auto count = static_cast<double>(this->window.size());
  this->largest_window = std::max(this->largest_window, this->window.size());
  this->largest_excess =
      std::max(this->largest_excess, count - ((allowed * 5 + allowed) * 1.1 + 20));
}

double LimitSimulation::Run(double demand, Duration duration, bool uneven) {
  const TimePoint end = this->now + duration;
  size_t served = 0;
  size_t total = 0;
  if (demand <= 0) {
    this->Advance(duration);
    return 1.0;
  }
  for (;;) {
    const double gap = -std::log(Uniform(&this->engine)) / demand;
    const Duration step(static_cast<int64_t>(gap * 1e6));
    if (this->now + step >= end) {
      this->Advance(end - this->now);
      break;
    }
    this->Advance(step);
    size_t daemon = RandomBelow(&this->engine, this->daemons.size());
    while (uneven && this->daemons[daemon]->domain != 0 && RandomBelow(&this->engine, 10) != 0) {
      daemon = RandomBelow(&this->engine, this->daemons.size());
    }
    ++total;
    served += this->Operate(daemon) ? 1 : 0;
  }
  return total == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(total);
}

}  // namespace poplarmoor
