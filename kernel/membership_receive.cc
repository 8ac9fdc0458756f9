#include <unordered_set>
#include <utility>

#include "kernel/membership.h"

namespace poplarmoor {

namespace {

// Maximum number of probes that one message from another failure domain can cause. They verify the
// suspicions and deaths that the message reports about members of this daemon's domain.
constexpr size_t kMaxVerificationProbes = 32;

}  // namespace

void Membership::ApplyToSelf(const Member& update) {
  const bool suspected =
      IsSuspectOrDead(update.state) && update.incarnation >= this->self_info.incarnation;
  if (!suspected && update.incarnation <= this->self_info.incarnation) {
    return;
  }
  if (this->self_info.state == MemberState::kDead) {
    // This daemon has announced that it stops, so it does not refute the report of its death.
    return;
  }
  // If this daemon has restarted, other members may still have an entry from before the restart
  // with a higher incarnation number. The new number overrides such an entry too.
  this->self_info.incarnation = update.incarnation + 1;
  this->members.Put(this->self_info);
  this->changes.push_back(this->self_info);
  this->QueueUpdate(this->self_info.daemon);
  this->has_unpushed_changes = true;
}

void Membership::Apply(const Member& update, const Member& from, TimePoint now) {
  if (update.daemon == this->self_info.daemon) {
    this->ApplyToSelf(update);
    return;
  }
  const Member* current = this->members.Find(update.daemon);
  const std::string& domain = this->self_info.failure_domain;
  if (current != nullptr && IsSuspectOrDead(update.state) && !IsSuspectOrDead(current->state) &&
      current->failure_domain == domain && from.failure_domain != domain &&
      from.daemon != update.daemon && IsNewer(update, *current)) {
    // After a network partition, the other failure domains report every member of this domain as
    // dead. Members of one domain detect each other's state more reliably than other domains do, so
    // the report is not stored; the reported member is probed instead.
    if (this->verification_probes++ < kMaxVerificationProbes) {
      this->StartProbe(update, GossipKind::kProbe, now);
    }
    return;
  }
  this->Store(update, now);
}

bool Membership::HandleDeadSender(const GossipMessage& message) {
  const Member* known = this->members.Find(message.sender.daemon);
  if (known == nullptr || known->state != MemberState::kDead ||
      message.sender.incarnation > known->incarnation) {
    return false;
  }
  // The sender does not know yet that it was declared dead. This daemon tells it, so that it
  // can refute its death. Until then, its updates about other members are ignored.
  if (message.sender.state != MemberState::kDead) {
    this->outgoing.push_back(
        {message.sender.daemon, message.sender.address, this->MakeRefutationRequest(*known)});
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
  this->verification_probes = 0;
  this->Store(message.sender, now);
  // Entries of this daemon's table that are newer than the sender's; they are sent back in a
  // kMembersAnswer message.
  std::vector<Member> newer;
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
      if (message.member_hash != this->members.Hash()) {
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
    // The ack carries the sequence number of the requester's own probe of the target, so that this
    // probe counts as answered.
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
  if (IsSuspectOrDead(target->state)) {
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
  answer.updates = this->members.MembersInBuckets(differs);
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
  for (Member& member : this->members.MembersInBuckets(differs)) {
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
