#include "kernel/placement/region_map.h"

#include <set>
#include <utility>

namespace poplarmoor {

RegionMap::RegionMap(std::map<std::string, std::string> regions) : regions(std::move(regions)) {
  std::set<std::string_view> distinct;
  for (const auto& [domain, region] : this->regions) {
    distinct.insert(region);
  }
  this->several = distinct.size() > 1;
}

std::string_view RegionMap::RegionOf(const std::string& failure_domain) const {
  const auto found = this->regions.find(failure_domain);
  return found == this->regions.end() ? std::string_view() : std::string_view(found->second);
}

Distance RegionMap::DistanceBetween(const std::string& domain,
                                    const std::string& other_domain) const {
  if (domain == other_domain) {
    return Distance::kSameDomain;
  }
  const std::string_view region = this->RegionOf(domain);
  const std::string_view other_region = this->RegionOf(other_domain);
  const bool known = !region.empty() && !other_region.empty();
  return known && region != other_region ? Distance::kOtherRegion : Distance::kSameRegion;
}

}  // namespace poplarmoor
