#include "kernel/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace poplarmoor {

namespace {

// Each update is piggybacked on this factor times log2(n + 1) messages, with the logarithm rounded
// up, where n is the number of live members. By then the update has reached all members with high
// probability; digests repair the tables of members that missed it.
constexpr int kUpdateSendFactor = 3;

// Maximum factor by which a daemon lengthens its suspicion period, which is the time from
// suspecting a member to declaring it dead. A daemon lengthens it when its probes fail several
// times in a row, because then the daemon itself may be disconnected.
constexpr int kMaxSuspicionFactor = 4;

}  // namespace

Membership::Membership(Member self, MembershipOptions options, RandomEngine* random)
    : options(options), random(random), self_info(std::move(self)) {
  this->members.Put(this->self_info);
}

void Membership::SetSeeds(std::vector<std::string> addresses) {
  this->seeds = std::move(addresses);
  std::erase(this->seeds, this->self_info.address);
}

void Membership::LoadTable(const std::vector<Member>& known) {
  for (const Member& member : known) {
    if (member.daemon != this->self_info.daemon && this->members.Find(member.daemon) == nullptr) {
      this->members.Put(member);
      this->changes.push_back(member);
    }
  }
  this->joined = true;
}

std::vector<GossipEnvelope> Membership::TakeOutgoing() {
  return std::exchange(this->outgoing, {});
}

std::vector<Member> Membership::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::vector<Member> Membership::RandomPeers(size_t max) {
  // Drawing more random members than needed and skipping duplicates avoids copying the whole table.
  std::vector<Member> peers;
  const size_t available = this->members.LiveCount() - 1;
  for (size_t i = 0; i < max * 8 && peers.size() < std::min(max, available); ++i) {
    const Member* peer = this->members.PickLive(this->random, "", false);
    const bool repeated = std::any_of(peers.begin(), peers.end(), [&](const Member& each) {
      return each.daemon == peer->daemon;
    });
    if (peer->daemon != this->self_info.daemon && !repeated) {
      peers.push_back(*peer);
    }
  }
  return peers;
}

// --- Sending ---

GossipMessage Membership::MakeMessage(GossipKind kind, uint64_t sequence) {
  GossipMessage message;
  message.kind = kind;
  message.sender = this->self_info;
  message.sequence = sequence;
  message.member_hash = this->members.Hash();
  message.member_count = this->members.LiveCount();
  message.config_hash = this->config_hash;
  return message;
}

GossipMessage Membership::MakeRefutationRequest(const Member& suspected) {
  GossipMessage refutation_request = this->MakeMessage(GossipKind::kProbe, 0);
  refutation_request.updates.push_back(suspected);
  return refutation_request;
}

void Membership::AddUpdates(GossipMessage* message) {
  // Updates with the most remaining sends go first.
  std::stable_sort(
      this->pending_updates.begin(), this->pending_updates.end(),
      [](const PendingUpdate& a, const PendingUpdate& b) { return a.sends_left > b.sends_left; });
  for (PendingUpdate& pending_update : this->pending_updates) {
    if (message->updates.size() >= this->options.max_updates) {
      break;
    }
    const Member* member = this->members.Find(pending_update.daemon);
    if (member != nullptr) {
      message->updates.push_back(*member);
    }
    --pending_update.sends_left;
  }
  std::erase_if(this->pending_updates,
                [](const PendingUpdate& pending_update) { return pending_update.sends_left <= 0; });
}

void Membership::Send(const Member& to, GossipMessage message) {
  this->AddUpdates(&message);
  this->outgoing.push_back({to.daemon, to.address, std::move(message)});
}

void Membership::Answer(const GossipMessage& message, GossipKind kind) {
  this->Send(message.sender, this->MakeMessage(kind, message.sequence));
}

void Membership::QueueUpdate(const std::string& daemon) {
  const auto log = std::log2(static_cast<double>(this->members.LiveCount()) + 1.0);
  const int sends = kUpdateSendFactor * static_cast<int>(std::ceil(log));
  for (PendingUpdate& pending_update : this->pending_updates) {
    if (pending_update.daemon == daemon) {
      pending_update.sends_left = sends;
      return;
    }
  }
  this->pending_updates.push_back({daemon, sends});
}

void Membership::Leave() {
  ++this->self_info.incarnation;
  this->self_info.state = MemberState::kLeaving;
  this->members.Put(this->self_info);
  this->changes.push_back(this->self_info);
  this->QueueUpdate(this->self_info.daemon);
  this->has_unpushed_changes = true;
}

void Membership::Stop() {
  this->self_info.state = MemberState::kDead;
  for (const Member& peer : this->RandomPeers(this->options.indirect_probes)) {
    this->Send(peer, this->MakeMessage(GossipKind::kAck, 0));
  }
}

// --- Probing ---

void Membership::Tick(TimePoint now) {
  if (!this->started) {
    this->started = true;
    this->last_tick = now;
    this->next_probe = now + RandomDuration(this->random, this->options.probe_interval);
    this->next_digest = now + RandomDuration(this->random, this->options.digest_interval);
    this->next_rejoin = now;
  }
  if (now - this->last_tick > this->options.pause_threshold) {
    this->RecoverFromPause(now);
  }
  this->last_tick = now;
  this->ExpireProbes(now);
  this->ExpireSuspicions(now);
  if (now >= this->next_probe) {
    this->next_probe = now + this->options.probe_interval;
    this->ProbeNext(now);
  }
  if (now >= this->next_digest) {
    this->next_digest = now + this->options.digest_interval;
    this->DigestNext(now);
  }
  if (now >= this->next_rejoin) {
    this->Rejoin(now);
  }
  if (this->has_unpushed_changes) {
    this->PushChanges();
  }
}

void Membership::PushChanges() {
  // Piggybacking on probes alone takes about 3 s to spread a change to a thousand members; a push
  // takes a tenth of that. One push per tick limits the messages when many members change at once.
  this->has_unpushed_changes = false;
  for (const Member& peer : this->RandomPeers(this->options.push_fanout)) {
    this->Send(peer, this->MakeMessage(GossipKind::kAck, 0));
  }
}

void Membership::RecoverFromPause(TimePoint now) {
  // Answers may have gone unprocessed while this daemon was paused, so neither its pending probes
  // nor its suspicions say anything about the other members.
  this->probes.clear();
  for (auto& entry : this->suspicions) {
    entry.second = now + this->options.suspicion_period;
  }
}

void Membership::StartProbe(const Member& target, GossipKind kind, TimePoint now) {
  const uint64_t sequence = this->next_sequence++;
  this->probes[sequence] = {target.daemon, now + this->options.probe_timeout, false};
  GossipMessage message = this->MakeMessage(kind, sequence);
  if (IsSuspectOrDead(target.state)) {
    // Lets the target see that it is suspected or declared dead, and refute this in its answer.
    message.updates.push_back(target);
  }
  this->Send(target, std::move(message));
}

void Membership::ProbeNext(TimePoint now) {
  // Every live member of this failure domain is probed once, in random order, before any is probed
  // again. This bounds the time until a given member is probed.
  const std::string& domain = this->self_info.failure_domain;
  if (this->members.LiveCountIn(domain) <= 1) {
    return;
  }
  for (int round = 0; round < 2; ++round) {
    while (!this->probe_order.empty()) {
      const std::string name = std::move(this->probe_order.back());
      this->probe_order.pop_back();
      const Member* member = this->members.Find(name);
      if (member != nullptr && member->state != MemberState::kDead &&
          name != this->self_info.daemon) {
        this->StartProbe(*member, GossipKind::kProbe, now);
        return;
      }
    }
    this->probe_order = this->members.LiveNamesIn(domain);
    std::shuffle(this->probe_order.begin(), this->probe_order.end(), *this->random);
  }
}

void Membership::DigestNext(TimePoint now) {
  const Member* member =
      this->members.PickLive(this->random, this->self_info.failure_domain, /*inside=*/false);
  if (member != nullptr) {
    this->StartProbe(*member, GossipKind::kDigest, now);
  }
}

void Membership::Rejoin(TimePoint now) {
  const bool has_no_peers = this->members.LiveCount() <= 1;
  this->next_rejoin =
      now + (has_no_peers ? this->options.probe_interval : this->options.rejoin_interval);
  // During a network partition, each side eventually declares the other dead. Contacting dead
  // members and seeds merges the two sides after the partition has healed.
  const Member* dead = this->members.PickDead(this->random);
  if (dead != nullptr) {
    GossipMessage message = this->MakeMessage(GossipKind::kDigest, 0);
    message.updates.push_back(*dead);
    this->outgoing.push_back({dead->daemon, dead->address, std::move(message)});
  }
  if (!this->seeds.empty() && (has_no_peers || !this->joined || dead == nullptr)) {
    const std::string& seed = this->seeds[RandomBelow(this->random, this->seeds.size())];
    const GossipKind kind = this->joined && !has_no_peers ? GossipKind::kDigest : GossipKind::kJoin;
    this->outgoing.push_back({"", seed, this->MakeMessage(kind, 0)});
  }
}

void Membership::SendIndirect(const std::string& target, uint64_t sequence) {
  const Member* member = this->members.Find(target);
  if (member == nullptr) {
    return;
  }
  // The helpers are members that probe the target on behalf of this daemon. For a target in another
  // failure domain, helpers in a third domain are preferred: helpers in this daemon's domain are
  // probably behind the same partition that made the direct probe fail.
  const bool same_domain = member->failure_domain == this->self_info.failure_domain;
  std::vector<Member> helpers;
  for (size_t i = 0; i < this->options.indirect_probes * 6; ++i) {
    const bool early = i < this->options.indirect_probes * 3;
    const bool inside = same_domain && early && helpers.size() + 1 < this->options.indirect_probes;
    const Member* helper =
        this->members.PickLive(this->random, this->self_info.failure_domain, inside);
    if (helper == nullptr) {
      helper = this->members.PickLive(this->random, this->self_info.failure_domain, !inside);
    }
    if (helper == nullptr || helper->daemon == target || helper->daemon == this->self_info.daemon ||
        (early && !same_domain && helper->failure_domain == member->failure_domain) ||
        std::any_of(helpers.begin(), helpers.end(),
                    [&](const Member& each) { return each.daemon == helper->daemon; })) {
      continue;
    }
    helpers.push_back(*helper);
    if (helpers.size() == this->options.indirect_probes) {
      break;
    }
  }
  for (const Member& helper : helpers) {
    GossipMessage message = this->MakeMessage(GossipKind::kIndirectProbe, sequence);
    message.target = target;
    this->Send(helper, std::move(message));
  }
}

void Membership::ExpireProbes(TimePoint now) {
  std::vector<std::pair<uint64_t, std::string>> late;
  std::vector<std::string> failed;
  for (auto it = this->probes.begin(); it != this->probes.end();) {
    Probe& probe = it->second;
    if (now < probe.deadline) {
      ++it;
    } else if (!probe.indirect) {
      probe.indirect = true;
      probe.deadline = now + this->options.indirect_timeout;
      late.emplace_back(it->first, probe.target);
      ++it;
    } else {
      failed.push_back(probe.target);
      it = this->probes.erase(it);
    }
  }
  for (const auto& [sequence, target] : late) {
    this->SendIndirect(target, sequence);
  }
  for (const std::string& target : failed) {
    this->failed_probes = std::min(this->failed_probes + 1, kMaxSuspicionFactor);
    this->Suspect(target, now);
  }
  std::erase_if(this->relays, [now](const auto& entry) { return now >= entry.second.expires; });
}

// --- Suspicion and death ---

void Membership::Suspect(const std::string& daemon, TimePoint now) {
  const Member* member = this->members.Find(daemon);
  if (member == nullptr || IsSuspectOrDead(member->state)) {
    return;
  }
  Member suspect = *member;
  suspect.state = MemberState::kSuspect;
  this->Store(suspect, now);
  this->outgoing.push_back({suspect.daemon, suspect.address, this->MakeRefutationRequest(suspect)});
  this->suspicions[daemon] =
      now + this->options.suspicion_period * std::max(1, this->failed_probes);
}

void Membership::ExpireSuspicions(TimePoint now) {
  std::vector<std::string> dead;
  std::erase_if(this->suspicions, [&](const auto& entry) {
    const Member* member = this->members.Find(entry.first);
    if (member == nullptr || member->state != MemberState::kSuspect) {
      return true;
    }
    if (now >= entry.second) {
      dead.push_back(entry.first);
      return true;
    }
    return false;
  });
  for (const std::string& daemon : dead) {
    Member member = *this->members.Find(daemon);
    member.state = MemberState::kDead;
    this->Store(member, now);
  }
  std::erase_if(this->deaths, [&](const auto& entry) {
    const Member* member = this->members.Find(entry.first);
    if (member == nullptr || member->state != MemberState::kDead) {
      return true;
    }
    if (now - entry.second < this->options.dead_retention) {
      return false;
    }
    this->members.Erase(entry.first);
    return true;
  });
}

bool Membership::Store(const Member& update, TimePoint now) {
  const Member* current = this->members.Find(update.daemon);
  if (current != nullptr && !IsNewer(update, *current)) {
    return false;
  }
  this->members.Put(update);
  if (update.state == MemberState::kSuspect) {
    this->suspicions[update.daemon] = now + this->options.suspicion_period;
  } else if (update.state == MemberState::kDead) {
    this->deaths[update.daemon] = now;
  }
  this->changes.push_back(update);
  this->QueueUpdate(update.daemon);
  this->has_unpushed_changes = true;
  return true;
}

}  // namespace poplarmoor
