#include "kernel/member_table.h"

#include <xxhash.h>

#include <algorithm>

namespace poplarmoor {

uint32_t MemberTable::BucketOf(const std::string& daemon) {
  return static_cast<uint32_t>(XXH64(daemon.data(), daemon.size(), 0) % kBuckets);
}

uint64_t MemberTable::HashOf(const Member& member) {
  // The hash does not depend on whether the member is suspected, because suspicion is short-lived.
  // The hash of a table leaves out dead members, because each daemon removes them at a different
  // time.
  const uint64_t seed = member.incarnation * 2 + (member.state == MemberState::kLeaving ? 1 : 0);
  return XXH64(member.daemon.data(), member.daemon.size(), seed);
}

MemberTable::List& MemberTable::ListOf(const Member& member) {
  return member.state == MemberState::kDead ? this->dead : this->domains[member.failure_domain];
}

void MemberTable::Unlink(Slot* slot) {
  List& list = this->ListOf(slot->member);
  list[slot->position] = list.back();
  list[slot->position]->position = slot->position;
  list.pop_back();
  if (slot->member.state != MemberState::kDead) {
    --this->live_count;
    this->hash_sum -= HashOf(slot->member);
    this->hashes[BucketOf(slot->member.daemon)] -= HashOf(slot->member);
  }
}

void MemberTable::Link(Slot* slot) {
  List& list = this->ListOf(slot->member);
  slot->position = static_cast<uint32_t>(list.size());
  list.push_back(slot);
  if (slot->member.state != MemberState::kDead) {
    ++this->live_count;
    this->hash_sum += HashOf(slot->member);
    this->hashes[BucketOf(slot->member.daemon)] += HashOf(slot->member);
  }
}

void MemberTable::Put(const Member& member) {
  const auto [found, is_new] = this->members.try_emplace(member.daemon);
  Slot* slot = &found->second;
  if (!is_new) {
    this->Unlink(slot);
  }
  slot->member = member;
  this->Link(slot);
}

void MemberTable::Erase(const std::string& daemon) {
  const auto found = this->members.find(daemon);
  if (found != this->members.end()) {
    this->Unlink(&found->second);
    this->members.erase(found);
  }
}

const Member* MemberTable::Find(const std::string& daemon) const {
  const auto found = this->members.find(daemon);
  return found == this->members.end() ? nullptr : &found->second.member;
}

size_t MemberTable::LiveCountIn(const std::string& failure_domain) const {
  const auto found = this->domains.find(failure_domain);
  return found == this->domains.end() ? 0 : found->second.size();
}

std::vector<uint64_t> MemberTable::BucketHashes() const {
  return {this->hashes.begin(), this->hashes.end()};
}

std::vector<Member> MemberTable::MembersInBuckets(const std::vector<bool>& wanted) const {
  std::vector<Member> result;
  for (const auto& entry : this->members) {
    if (wanted[BucketOf(entry.first)]) {
      result.push_back(entry.second.member);
    }
  }
  return result;
}

std::vector<Member> MemberTable::All() const {
  std::vector<Member> result;
  result.reserve(this->members.size());
  for (const auto& entry : this->members) {
    result.push_back(entry.second.member);
  }
  return result;
}

std::vector<std::string> MemberTable::LiveNamesIn(const std::string& failure_domain) const {
  std::vector<std::string> result;
  const auto found = this->domains.find(failure_domain);
  if (found != this->domains.end()) {
    for (const Slot* slot : found->second) {
      result.push_back(slot->member.daemon);
    }
  }
  return result;
}

const Member* MemberTable::PickLive(RandomEngine* random,
                                    const std::string& failure_domain,
                                    bool inside) const {
  const auto found = this->domains.find(failure_domain);
  const size_t within = found == this->domains.end() ? 0 : found->second.size();
  const size_t choices = inside ? within : this->live_count - within;
  if (choices == 0) {
    return nullptr;
  }
  size_t choice = RandomBelow(random, choices);
  if (inside) {
    return &found->second[choice]->member;
  }
  for (const auto& [name, list] : this->domains) {
    if (name == failure_domain) {
      continue;
    }
    if (choice < list.size()) {
      return &list[choice]->member;
    }
    choice -= list.size();
  }
  return nullptr;
}

const Member* MemberTable::PickDead(RandomEngine* random) const {
  return this->dead.empty() ? nullptr : &this->dead[RandomBelow(random, this->dead.size())]->member;
}

}  // namespace poplarmoor
