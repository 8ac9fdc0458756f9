#include "kernel/membership.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace poplarmoor {

namespace {

// Each update is sent kSpreadFactor * log2(n) times, after which it has reached all members with
// high probability; the digests repair the rest.
constexpr int kSpreadFactor = 3;

// A daemon whose own probes fail in a row may itself be cut off. It waits up to this many times
// longer before it declares a member dead.
constexpr int kMaxStretch = 4;

// Members that are checked because of one message of another failure domain.
constexpr size_t kMaxChecks = 32;

/// @returns Whether `update` overrides `current`.
bool IsNewer(const Member& update, const Member& current) {
  return update.incarnation != current.incarnation ? update.incarnation > current.incarnation
                                                   : update.state > current.state;
}

bool IsAccusation(MemberState state) {
  return state == MemberState::kSuspect || state == MemberState::kDead;
}

}  // namespace

Membership::Membership(Member self, MembershipOptions options, RandomEngine* random)
    : options(options), random(random), self_info(std::move(self)) {
  this->members.Put(this->self_info);
}

void Membership::SetSeeds(std::vector<std::string> addresses) {
  this->seeds = std::move(addresses);
  std::erase(this->seeds, this->self_info.address);
}

std::vector<GossipEnvelope> Membership::TakeOutgoing() {
  return std::exchange(this->outgoing, {});
}

std::vector<Member> Membership::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::vector<Member> Membership::RandomPeers(size_t max) {
  // Drawing a few more than needed and dropping repetitions avoids a copy of the whole table.
  std::vector<Member> peers;
  const size_t available = this->members.live_count() - 1;
  for (size_t i = 0; i < max * 8 && peers.size() < std::min(max, available); ++i) {
    const Member* peer = this->members.Pick(this->random, "", false);
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
  message.member_hash = this->members.hash();
  message.member_count = this->members.live_count();
  message.config_hash = this->config_hash;
  return message;
}

GossipMessage Membership::MakeNotice(const Member& accused) {
  GossipMessage notice = this->MakeMessage(GossipKind::kProbe, 0);
  notice.updates.push_back(accused);
  return notice;
}

void Membership::AddUpdates(GossipMessage* message) {
  // The updates that were sent least often go first.
  std::stable_sort(this->rumours.begin(), this->rumours.end(),
                   [](const Rumour& a, const Rumour& b) { return a.sends_left > b.sends_left; });
  for (Rumour& rumour : this->rumours) {
    if (message->updates.size() >= this->options.max_updates) {
      break;
    }
    const Member* member = this->members.Find(rumour.daemon);
    if (member != nullptr) {
      message->updates.push_back(*member);
    }
    --rumour.sends_left;
  }
  std::erase_if(this->rumours, [](const Rumour& rumour) { return rumour.sends_left <= 0; });
}

void Membership::Send(const Member& to, GossipMessage message) {
  this->AddUpdates(&message);
  this->outgoing.push_back({to.daemon, to.address, std::move(message)});
}

void Membership::Answer(const GossipMessage& message, GossipKind kind) {
  this->Send(message.sender, this->MakeMessage(kind, message.sequence));
}

void Membership::Spread(const std::string& daemon) {
  const auto log = std::log2(static_cast<double>(this->members.live_count()) + 1.0);
  const int sends = kSpreadFactor * static_cast<int>(std::ceil(log));
  for (Rumour& rumour : this->rumours) {
    if (rumour.daemon == daemon) {
      rumour.sends_left = sends;
      return;
    }
  }
  this->rumours.push_back({daemon, sends});
}

void Membership::Leave() {
  ++this->self_info.incarnation;
  this->self_info.state = MemberState::kLeaving;
  this->members.Put(this->self_info);
  this->changes.push_back(this->self_info);
  this->Spread(this->self_info.daemon);
}

void Membership::Stop() {
  this->self_info.state = MemberState::kDead;
  for (const Member& peer : this->RandomPeers(this->options.indirect_probes)) {
    this->Send(peer, this->MakeMessage(GossipKind::kAck, 0));
  }
}

// --- Probes ---

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
}

void Membership::RecoverFromPause(TimePoint now) {
  // Answers may have arrived and been missed while this daemon was paused, so that neither open
  // probes nor suspicions say anything about the others.
  this->probes.clear();
  for (auto& entry : this->suspicions) {
    entry.second = now + this->options.suspicion_period;
  }
}

void Membership::StartProbe(const Member& target, GossipKind kind, TimePoint now) {
  const uint64_t sequence = this->next_sequence++;
  this->probes[sequence] = {target.daemon, now + this->options.probe_timeout, false};
  GossipMessage message = this->MakeMessage(kind, sequence);
  if (IsAccusation(target.state)) {
    message.updates.push_back(target);  // The target refutes it in its answer.
  }
  this->Send(target, std::move(message));
}

void Membership::ProbeNext(TimePoint now) {
  // A shuffled round bounds the time until any given member is probed.
  const std::string& domain = this->self_info.failure_domain;
  if (this->members.LiveIn(domain) <= 1) {
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
    this->probe_order = this->members.NamesIn(domain);
    std::shuffle(this->probe_order.begin(), this->probe_order.end(), *this->random);
  }
}

void Membership::DigestNext(TimePoint now) {
  const Member* member =
      this->members.Pick(this->random, this->self_info.failure_domain, /*inside=*/false);
  if (member != nullptr) {
    this->StartProbe(*member, GossipKind::kDigest, now);
  }
}

void Membership::Rejoin(TimePoint now) {
  const bool alone = this->members.live_count() <= 1;
  this->next_rejoin = now + (alone ? this->options.probe_interval : this->options.rejoin_interval);
  // Both sides of a cut hold each other dead after a while. Contacts to dead members and to seeds
  // join them again after the cut has healed.
  const Member* dead = this->members.PickDead(this->random);
  if (dead != nullptr) {
    GossipMessage message = this->MakeMessage(GossipKind::kDigest, 0);
    message.updates.push_back(*dead);
    this->outgoing.push_back({dead->daemon, dead->address, std::move(message)});
  }
  if (!this->seeds.empty() && (alone || !this->joined || dead == nullptr)) {
    const std::string& seed = this->seeds[RandomBelow(this->random, this->seeds.size())];
    const GossipKind kind = this->joined && !alone ? GossipKind::kDigest : GossipKind::kJoin;
    this->outgoing.push_back({"", seed, this->MakeMessage(kind, 0)});
  }
}

void Membership::SendIndirect(const std::string& target, uint64_t sequence) {
  const Member* member = this->members.Find(target);
  if (member == nullptr) {
    return;
  }
  // For a member of another failure domain, helpers in a third domain come first: those of the own
  // domain probably share the cut that made the direct probe fail.
  const bool same_domain = member->failure_domain == this->self_info.failure_domain;
  std::vector<Member> helpers;
  for (size_t i = 0; i < this->options.indirect_probes * 6; ++i) {
    const bool early = i < this->options.indirect_probes * 3;
    const bool inside = same_domain && early && helpers.size() + 1 < this->options.indirect_probes;
    const Member* helper = this->members.Pick(this->random, this->self_info.failure_domain, inside);
    if (helper == nullptr) {
      helper = this->members.Pick(this->random, this->self_info.failure_domain, !inside);
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
    this->failed_probes = std::min(this->failed_probes + 1, kMaxStretch);
    this->Suspect(target, now);
  }
  std::erase_if(this->relays, [now](const auto& entry) { return now >= entry.second.expires; });
}

// --- Suspicion and death ---

void Membership::Suspect(const std::string& daemon, TimePoint now) {
  const Member* member = this->members.Find(daemon);
  if (member == nullptr || IsAccusation(member->state)) {
    return;
  }
  Member suspect = *member;
  suspect.state = MemberState::kSuspect;
  this->Store(suspect, now);
  this->outgoing.push_back({suspect.daemon, suspect.address, this->MakeNotice(suspect)});
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
  this->Spread(update.daemon);
  return true;
}

void Membership::ApplyToSelf(const Member& update) {
  const bool accused =
      IsAccusation(update.state) && update.incarnation >= this->self_info.incarnation;
  if (!accused && update.incarnation <= this->self_info.incarnation) {
    return;
  }
  if (this->self_info.state == MemberState::kDead) {
    return;  // This daemon stops and has said so.
  }
  // Also covers an earlier start of this daemon name with a higher incarnation.
  this->self_info.incarnation = update.incarnation + 1;
  this->members.Put(this->self_info);
  this->changes.push_back(this->self_info);
  this->Spread(this->self_info.daemon);
}

void Membership::Apply(const Member& update, const Member& from, TimePoint now) {
  if (update.daemon == this->self_info.daemon) {
    this->ApplyToSelf(update);
    return;
  }
  const Member* current = this->members.Find(update.daemon);
  const std::string& domain = this->self_info.failure_domain;
  if (current != nullptr && IsAccusation(update.state) && !IsAccusation(current->state) &&
      current->failure_domain == domain && from.failure_domain != domain &&
      from.daemon != update.daemon && IsNewer(update, *current)) {
    // After a cut, the other domains hold every member of this one dead. The members of a failure
    // domain judge each other better than others do, so that the accused is asked first.
    if (this->checks++ < kMaxChecks) {
      this->StartProbe(update, GossipKind::kProbe, now);
    }
    return;
  }
  this->Store(update, now);
}

// --- Receiving ---

bool Membership::HandleDeadSender(const GossipMessage& message) {
  const Member* known = this->members.Find(message.sender.daemon);
  if (known == nullptr || known->state != MemberState::kDead ||
      message.sender.incarnation > known->incarnation) {
    return false;
  }
  // The sender does not know yet that it was declared dead. It refutes this in its answer; until
  // then its view of the others is not trusted.
  if (message.sender.state != MemberState::kDead) {
    this->outgoing.push_back(
        {message.sender.daemon, message.sender.address, this->MakeNotice(*known)});
  }
  return true;
}

void Membership::Receive(const GossipMessage& message, TimePoint now) {
  if (message.sender.daemon == this->self_info.daemon) {
    if (message.sender.incarnation > this->self_info.incarnation) {
      this->ApplyToSelf(message.sender);
    }
    return;
  }
  for (const Member& update : message.updates) {
    if (update.daemon == this->self_info.daemon) {
      this->ApplyToSelf(update);
    }
  }
  if (this->HandleDeadSender(message)) {
    return;
  }
  this->checks = 0;
  this->Store(message.sender, now);
  std::vector<Member> newer;  // Entries that are newer here, for kMembersAnswer.
  for (const Member& update : message.updates) {
    const Member* current = this->members.Find(update.daemon);
    if (message.kind == GossipKind::kMembers && current != nullptr && IsNewer(*current, update)) {
      newer.push_back(*current);
    }
    this->Apply(update, message.sender, now);
  }
  switch (message.kind) {
    case GossipKind::kProbe:
      this->Answer(message, GossipKind::kAck);
      break;
    case GossipKind::kAck:
      this->ReceiveAck(message);
      break;
    case GossipKind::kIndirectProbe:
      this->RelayProbe(message, now);
      break;
    case GossipKind::kDigest: {
      GossipMessage answer = this->MakeMessage(GossipKind::kDigestAnswer, message.sequence);
      if (message.member_hash != this->members.hash()) {
        answer.bucket_hashes = this->members.BucketHashes();
      }
      this->Send(message.sender, std::move(answer));
      break;
    }
    case GossipKind::kDigestAnswer:
      this->ReceiveAck(message);
      this->CompareTables(message);
      break;
    case GossipKind::kMembers:
      this->AnswerMembers(message, std::move(newer));
      break;
    case GossipKind::kMembersAnswer:
      this->joined = true;
      break;
    case GossipKind::kJoin: {
      GossipMessage answer = this->MakeMessage(GossipKind::kMembersAnswer, message.sequence);
      answer.updates = this->members.All();
      this->outgoing.push_back({message.sender.daemon, message.sender.address, std::move(answer)});
      break;
    }
  }
}

void Membership::ReceiveAck(const GossipMessage& message) {
  const auto relay = this->relays.find(message.sequence);
  if (relay != this->relays.end()) {
    // The sequence is the requester's own, so that it ends the requester's probe.
    const Member requester{relay->second.daemon, relay->second.address, "", 0, MemberState::kAlive};
    GossipMessage ack = this->MakeMessage(GossipKind::kAck, relay->second.sequence);
    ack.updates.push_back(message.sender);
    this->relays.erase(relay);
    this->Send(requester, std::move(ack));
    return;
  }
  if (this->probes.erase(message.sequence) > 0) {
    this->failed_probes = 0;
  }
}

void Membership::RelayProbe(const GossipMessage& message, TimePoint now) {
  const Member* target = this->members.Find(message.target);
  if (target == nullptr) {
    return;
  }
  const uint64_t sequence = this->next_sequence++;
  this->relays[sequence] = {message.sender.daemon, message.sender.address, message.sequence,
                            now + this->options.indirect_timeout * 2};
  GossipMessage probe = this->MakeMessage(GossipKind::kProbe, sequence);
  if (IsAccusation(target->state)) {
    probe.updates.push_back(*target);
  }
  this->Send(*target, std::move(probe));
}

void Membership::CompareTables(const GossipMessage& message) {
  if (message.bucket_hashes.size() != MemberTable::kBuckets) {
    return;
  }
  GossipMessage answer = this->MakeMessage(GossipKind::kMembers, 0);
  const std::vector<uint64_t> own = this->members.BucketHashes();
  std::vector<bool> differs(MemberTable::kBuckets);
  for (uint32_t bucket = 0; bucket < MemberTable::kBuckets; ++bucket) {
    if (own[bucket] != message.bucket_hashes[bucket]) {
      answer.differing.push_back(bucket);
      differs[bucket] = true;
    }
  }
  if (answer.differing.empty()) {
    return;
  }
  answer.updates = this->members.InBuckets(differs);
  this->outgoing.push_back({message.sender.daemon, message.sender.address, std::move(answer)});
}

void Membership::AnswerMembers(const GossipMessage& message, std::vector<Member> newer) {
  std::vector<bool> differs(MemberTable::kBuckets);
  for (uint32_t bucket : message.differing) {
    if (bucket < MemberTable::kBuckets) {
      differs[bucket] = true;
    }
  }
  std::unordered_set<std::string> sent;
  for (const Member& update : message.updates) {
    sent.insert(update.daemon);
  }
  for (Member& member : this->members.InBuckets(differs)) {
    if (!sent.contains(member.daemon)) {
      newer.push_back(std::move(member));
    }
  }
  if (!newer.empty()) {
    GossipMessage answer = this->MakeMessage(GossipKind::kMembersAnswer, 0);
    answer.updates = std::move(newer);
    this->outgoing.push_back({message.sender.daemon, message.sender.address, std::move(answer)});
  }
}

}  // namespace poplarmoor
