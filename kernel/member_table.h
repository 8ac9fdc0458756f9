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

/// Table of all known daemons by name. For the membership protocol, it also keeps lists for random
/// selection and hashes for the comparison of two tables.
class MemberTable {
 public:
  /// Number of buckets into which members are hashed. Comparing the buckets' hashes shows in which
  /// buckets two tables differ.
  static constexpr size_t kBuckets = 64;

  /// Adds or replaces a member.
  void Put(const Member& member);

  /// Removes a member.
  void Erase(const std::string& daemon);

  /// @returns The member, or nullptr if there is none. Valid until the table changes.
  const Member* Find(const std::string& daemon) const;

  /// @returns Number of members that are not dead.
  size_t LiveCount() const { return this->live_count; }

  /// @returns Number of live members (members that are not dead) in a failure domain.
  size_t LiveCountIn(const std::string& failure_domain) const;

  /// @returns Number of members, including dead ones.
  size_t size() const { return this->members.size(); }

  /// @returns Hash of all live members: name, incarnation and whether the member is leaving.
  uint64_t Hash() const { return this->hash_sum; }

  /// @returns For each bucket (group of members by hash of the name), the hash of its live members.
  std::vector<uint64_t> BucketHashes() const;

  /// @param wanted For each bucket, whether to return its members.
  /// @returns All members of these buckets, including dead ones.
  std::vector<Member> MembersInBuckets(const std::vector<bool>& wanted) const;

  /// @returns All members, including dead ones.
  std::vector<Member> All() const;

  /// @param failure_domain Name of a failure domain.
  /// @returns Names of the live members in the failure domain.
  std::vector<std::string> LiveNamesIn(const std::string& failure_domain) const;

  /// Picks a random live member.
  /// @param random Random number generator.
  /// @param failure_domain Name of a failure domain.
  /// @param inside True: pick a member in this failure domain. False: pick one in any other domain.
  /// @returns The member, or nullptr if there is none.
  const Member* PickLive(RandomEngine* random,
                         const std::string& failure_domain,
                         bool inside) const;

  /// @returns A random dead member, or nullptr if there is none.
  const Member* PickDead(RandomEngine* random) const;

 private:
  struct Slot {
    Member member;
    // Index of this entry in the list of its failure domain's live members or, for a dead member,
    // in `dead`.
    uint32_t position = 0;
  };
  using List = std::vector<Slot*>;

  static uint32_t BucketOf(const std::string& daemon);
  static uint64_t HashOf(const Member& member);
  List& ListOf(const Member& member);
  void Unlink(Slot* slot);
  void Link(Slot* slot);

  std::unordered_map<std::string, Slot> members;
  std::map<std::string, List> domains;  // Live members by failure domain.
  List dead;
  size_t live_count = 0;  // Number of members that are not dead.
  uint64_t hash_sum = 0;  // Sum of the hashes of all live members' entries.
  std::array<uint64_t, kBuckets> hashes{};
};

}  // namespace poplarmoor
