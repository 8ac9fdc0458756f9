#include "kernel/config_store.h"

#include <xxhash.h>

#include <algorithm>

namespace poplarmoor {

uint32_t ConfigStore::BucketOf(const Key& key) {
  return static_cast<uint32_t>(HashOf(key, 0) % kBuckets);
}

uint64_t ConfigStore::HashOf(const Key& key, uint64_t version) {
  return XXH64(key.second.data(), key.second.size(),
               version * kUnitKindNames.rows.size() + static_cast<uint64_t>(key.first));
}

bool ConfigStore::Accepts(const ConfigUnit& current, const ConfigUnit& offered) const {
  return offered.version > current.version;
}

bool ConfigStore::Put(const ConfigUnit& unit) {
  const Key key(unit.kind, unit.name);
  const uint32_t bucket = BucketOf(key);
  const auto [found, is_new] = this->units.try_emplace(key, unit);
  if (is_new) {
    this->buckets[bucket].push_back(&found->second);
  } else {
    if (!this->Accepts(found->second, unit)) {
      return false;
    }
    const uint64_t old_hash = HashOf(key, found->second.version);
    this->hashes[bucket] -= old_hash;
    this->hash_sum -= old_hash;
    found->second = unit;
  }
  const uint64_t hash = HashOf(key, unit.version);
  this->hashes[bucket] += hash;
  this->hash_sum += hash;
  return true;
}

const ConfigUnit* ConfigStore::Find(UnitKind kind, const std::string& name) const {
  const auto found = this->units.find({kind, name});
  return found == this->units.end() ? nullptr : &found->second;
}

std::vector<ConfigUnit> ConfigStore::UnitsOf(UnitKind kind) const {
  std::vector<ConfigUnit> result;
  for (auto it = this->units.lower_bound({kind, ""});
       it != this->units.end() && it->first.first == kind; ++it) {
    result.push_back(it->second);
  }
  return result;
}

uint64_t ConfigStore::RevisionOf(UnitKind kind) const {
  uint64_t revision = 0;
  for (auto it = this->units.lower_bound({kind, ""});
       it != this->units.end() && it->first.first == kind; ++it) {
    revision = std::max(revision, it->second.revision);
  }
  return revision;
}

std::vector<uint64_t> ConfigStore::BucketHashes() const {
  return {this->hashes.begin(), this->hashes.end()};
}

std::vector<uint32_t> ConfigStore::DifferingBuckets(const std::vector<uint64_t>& theirs) const {
  std::vector<uint32_t> result;
  for (uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    if (theirs.size() != kBuckets || theirs[bucket] != this->hashes[bucket]) {
      result.push_back(bucket);
    }
  }
  return result;
}

std::vector<UnitVersion> ConfigStore::VersionsIn(uint32_t bucket) const {
  std::vector<UnitVersion> result;
  if (bucket < kBuckets) {
    for (const ConfigUnit* unit : this->buckets[bucket]) {
      result.push_back({unit->kind, unit->name, unit->version});
    }
  }
  return result;
}

void ConfigStore::Compare(const std::vector<uint32_t>& covered,
                          const std::vector<UnitVersion>& theirs,
                          std::vector<UnitVersion>* missing_there,
                          std::vector<UnitVersion>* missing_here) const {
  std::map<Key, uint64_t> their_versions;
  for (const UnitVersion& unit : theirs) {
    their_versions[{unit.kind, unit.name}] = unit.version;
    const ConfigUnit* own = this->Find(unit.kind, unit.name);
    if (own == nullptr || own->version < unit.version) {
      missing_here->push_back(unit);
    }
  }
  for (const uint32_t bucket : covered) {
    for (const UnitVersion& own : this->VersionsIn(bucket)) {
      const auto found = their_versions.find({own.kind, own.name});
      if (found == their_versions.end() || found->second < own.version) {
        missing_there->push_back(own);
      }
    }
  }
}

}  // namespace poplarmoor
