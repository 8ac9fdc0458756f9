#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/member.h"
#include "kernel/random.h"

namespace poplarmoor {

/// Members by name, with the lists and hashes that the membership protocol draws from.
class MemberTable {
 public:
  /// Number of buckets whose hashes locate the difference between two tables.
  static constexpr size_t kBuckets = 64;

  /// Adds or replaces a member.
  void Put(const Member& member);

  /// Forgets a member.
  void Erase(const std::string& daemon);

  /// @returns The member, or nullptr. Valid until the next change.
  const Member* Find(const std::string& daemon) const;

  /// @returns Number of members that are not dead.
  size_t LiveCount() const { return this->live; }

  /// @returns Number of members of a failure domain that are not dead.
  size_t LiveIn(const std::string& failure_domain) const;

  /// @returns Number of members, the dead ones included.
  size_t size() const { return this->members.size(); }

  /// @returns Hash over name and incarnation of all live members.
  uint64_t Hash() const { return this->total; }

  /// @returns Hash of every bucket.
  std::vector<uint64_t> BucketHashes() const;

  /// @param wanted For every bucket, whether its members are wanted.
  /// @returns All members of these buckets, the dead ones included.
  std::vector<Member> InBuckets(const std::vector<bool>& wanted) const;

  /// @returns All members, the dead ones included.
  std::vector<Member> All() const;

  /// @param failure_domain Failure domain.
  /// @returns Names of its members that are not dead.
  std::vector<std::string> NamesIn(const std::string& failure_domain) const;

  /// Picks a random live member.
  /// @param random Generator.
  /// @param failure_domain Failure domain.
  /// @param inside Whether the member must be inside or outside of the failure domain.
  /// @returns The member, or nullptr when there is none.
  const Member* Pick(RandomEngine* random, const std::string& failure_domain, bool inside) const;

  /// @returns A random dead member, or nullptr.
  const Member* PickDead(RandomEngine* random) const;

 private:
  struct Slot {
    Member member;
    uint32_t position = 0;  // In the list of its failure domain, or in the list of dead members.
  };
  using List = std::vector<Slot*>;

  static uint32_t BucketOf(const std::string& daemon);
  static uint64_t HashOf(const Member& member);
  List& ListOf(const Member& member);
  void Unlink(Slot* slot);
  void Link(Slot* slot);

  std::unordered_map<std::string, Slot> members;
  std::map<std::string, List> domains;  // Live members.
  List dead;
  size_t live = 0;
  uint64_t total = 0;
  std::array<uint64_t, kBuckets> hashes{};
};

}  // namespace poplarmoor
