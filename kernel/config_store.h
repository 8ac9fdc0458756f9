#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kernel/config_unit.h"

namespace poplarmoor {

/// Cached configuration units. Only a higher version replaces a unit, so that configuration never
/// reverts to an older state.
class ConfigStore {
 public:
  virtual ~ConfigStore() = default;

  /// Number of buckets into which units are hashed. Comparing the buckets' hashes shows in which
  /// buckets two stores differ.
  static constexpr size_t kBuckets = 128;

  /// Stores a unit if it is new or its version is higher than the stored one.
  /// @returns Whether the unit was stored.
  bool Put(const ConfigUnit& unit);

  /// @returns The unit, or nullptr if there is none. Valid until the store changes.
  const ConfigUnit* Find(UnitKind kind, const std::string& name) const;

  /// @returns All units of a kind, sorted by name.
  std::vector<ConfigUnit> UnitsOf(UnitKind kind) const;

  /// @returns Hash of the kinds, names and versions of all units. Two stores with the same units
  ///     have the same hash.
  uint64_t Hash() const { return this->hash_sum; }

  /// @returns Number of units.
  size_t size() const { return this->units.size(); }

  /// @returns Highest platform revision among the units of a kind; 0 if there are none.
  uint64_t RevisionOf(UnitKind kind) const;

  /// @returns For each bucket, the hash of its units.
  std::vector<uint64_t> BucketHashes() const;

  /// @param hashes Bucket hashes of another store.
  /// @returns Indexes of the buckets whose hashes differ from this store's; all buckets if `hashes`
  ///     has the wrong size.
  std::vector<uint32_t> DifferingBuckets(const std::vector<uint64_t>& hashes) const;

  /// @returns Versions of all units in a bucket.
  std::vector<UnitVersion> VersionsIn(uint32_t bucket) const;

  /// Compares some buckets with those of another store.
  /// @param buckets Indexes of the buckets that `theirs` covers.
  /// @param theirs Versions of the other store's units in these buckets.
  /// @param[out] missing_there Versions of this store's units that are newer than the other
  ///     store's, or absent from the other store.
  /// @param[out] missing_here Versions in `theirs` that are newer than this store's, or absent from
  ///     this store.
  void Compare(const std::vector<uint32_t>& buckets,
               const std::vector<UnitVersion>& theirs,
               std::vector<UnitVersion>* missing_there,
               std::vector<UnitVersion>* missing_here) const;

 protected:
  /// @returns Whether an offered unit replaces the current one. Virtual so that a test can remove
  ///     the version check.
  virtual bool Accepts(const ConfigUnit& current, const ConfigUnit& offered) const;

 private:
  using Key = std::pair<UnitKind, std::string>;

  static uint32_t BucketOf(const Key& key);
  static uint64_t HashOf(const Key& key, uint64_t version);

  std::map<Key, ConfigUnit> units;
  std::array<std::vector<const ConfigUnit*>, kBuckets> buckets;
  std::array<uint64_t, kBuckets> hashes{};
  uint64_t hash_sum = 0;  // Sum of the hashes of all units.
};

}  // namespace poplarmoor
