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

/// Cached configuration units. A unit is replaced only by a higher version, so that configuration
/// never goes back.
class ConfigStore {
 public:
  virtual ~ConfigStore() = default;

  /// Number of buckets whose hashes locate the difference between two stores.
  static constexpr size_t kBuckets = 128;

  /// Offers a unit.
  /// @returns Whether it was accepted, because it is new or its version is higher.
  bool Put(const ConfigUnit& unit);

  /// @returns The unit, or nullptr. Valid until the next change.
  const ConfigUnit* Find(UnitKind kind, const std::string& name) const;

  /// @returns All units of a kind, sorted by name.
  std::vector<ConfigUnit> UnitsOf(UnitKind kind) const;

  /// @returns Hash over kind, name and version of all units; equal stores have equal hashes.
  uint64_t Hash() const { return this->total; }

  /// @returns Number of units.
  size_t size() const { return this->units.size(); }

  /// @returns Highest platform revision among the units of a kind.
  uint64_t RevisionOf(UnitKind kind) const;

  /// @returns Hash of every bucket.
  std::vector<uint64_t> BucketHashes() const;

  /// @param hashes Bucket hashes of another store.
  /// @returns Numbers of the buckets that differ; all when the number of hashes is wrong.
  std::vector<uint32_t> DifferingBuckets(const std::vector<uint64_t>& hashes) const;

  /// @returns Versions of the units in a bucket.
  std::vector<UnitVersion> VersionsIn(uint32_t bucket) const;

  /// Compares some buckets with those of another store.
  /// @param buckets Buckets that `theirs` covers.
  /// @param theirs Versions of the other store's units in these buckets.
  /// @param[out] missing_there Units that are newer here, or absent there.
  /// @param[out] missing_here Versions that are newer there, or absent here.
  void Compare(const std::vector<uint32_t>& buckets,
               const std::vector<UnitVersion>& theirs,
               std::vector<UnitVersion>* missing_there,
               std::vector<UnitVersion>* missing_here) const;

 protected:
  /// @returns Whether an offered unit replaces the current one. Tests weaken it.
  virtual bool Accepts(const ConfigUnit& current, const ConfigUnit& offered) const;

 private:
  using Key = std::pair<UnitKind, std::string>;

  static uint32_t BucketOf(const Key& key);
  static uint64_t HashOf(const Key& key, uint64_t version);

  std::map<Key, ConfigUnit> units;
  std::array<std::vector<const ConfigUnit*>, kBuckets> buckets;
  std::array<uint64_t, kBuckets> hashes{};
  uint64_t total = 0;
};

}  // namespace poplarmoor
