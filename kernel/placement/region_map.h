#pragma once

#include <map>
#include <string>
#include <string_view>

#include "kernel/name_table.h"

namespace poplarmoor {

/// How far apart two failure domains are.
enum class Distance {
  kSameDomain,
  kSameRegion,   // Different failure domains of one region.
  kOtherRegion,  // Failure domains of different regions: high latency and a shared, thin link.
};

inline constexpr NameTable<Distance, 3> kDistanceNames{{{
    {Distance::kSameDomain, "same_domain"},
    {Distance::kSameRegion, "same_region"},
    {Distance::kOtherRegion, "other_region"},
}}};

/// Regions of the failure domains. Domains of unknown region count as one region, as they do in a
/// deployment with a single region.
class RegionMap {
 public:
  RegionMap() = default;

  /// @param regions Region of each failure domain.
  explicit RegionMap(std::map<std::string, std::string> regions);

  /// @returns Whether there are at least two regions.
  bool HasSeveralRegions() const { return this->several; }

  /// @returns Region of a failure domain; empty if it is unknown.
  std::string_view RegionOf(const std::string& failure_domain) const;

  Distance DistanceBetween(const std::string& domain, const std::string& other_domain) const;

 private:
  std::map<std::string, std::string> regions;
  bool several = false;
};

}  // namespace poplarmoor
