#include "config/effective_settings.h"

#include <algorithm>
#include <utility>

#include "config/config_problem.h"

namespace poplarmoor {

namespace {

// Stores a unit under its name, or erases the entry when the unit has been removed.
template <typename Unit>
void StoreOrErase(std::map<std::string, Unit>* units,
                  const std::string& name,
                  std::optional<Unit> unit) {
  if (unit) {
    units->insert_or_assign(name, std::move(*unit));
  } else {
    units->erase(name);
  }
}

}  // namespace

void EffectiveSettings::Update(const std::string& name, const std::string& content) {
  if (name == kCommonUnit) {
    this->common = ParseCommonUnit(content);
  } else if (name.starts_with(kServicePrefix)) {
    StoreOrErase(&this->services, name.substr(kServicePrefix.size()), ParseServiceUnit(content));
  } else if (name.starts_with(kSitePrefix)) {
    StoreOrErase(&this->sites, name.substr(kSitePrefix.size()), ParseSiteUnit(content));
  } else {
    throw ConfigError({{"unit " + name, "", "", "unknown unit", "common, service.*, site.*"}});
  }
}

std::optional<ServiceSettings> EffectiveSettings::Find(const std::string& service,
                                                       const std::string& site) const {
  const auto unit = this->services.find(service);
  if (unit == this->services.end()) {
    return std::nullopt;
  }
  const ServiceUnit& base = unit->second;
  const auto pool = this->common.pools.find(base.pool);
  const bool listed = std::find(base.sites.begin(), base.sites.end(), site) != base.sites.end();
  if (pool == this->common.pools.end() || (!site.empty() && !listed)) {
    return std::nullopt;
  }
  ServiceSettings settings;
  settings.service = service;
  settings.pool = base.pool;
  settings.sites = base.sites;
  settings.acknowledge = base.acknowledge;
  settings.records_request_ids = base.records_request_ids;
  settings.slots = base.slots.value_or(pool->second.slots);
  settings.connections = base.connections.value_or(pool->second.connections);
  settings.connect_time = base.connect_time.value_or(pool->second.connect_time);
  settings.admission = base.admission.value_or(settings.admission);
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    this->common.ranks[rank].ApplyTo(&settings.ranks[rank]);
  }
  base.settings.ApplyTo(&settings);
  if (const auto overlay = this->sites.find(site); overlay != this->sites.end()) {
    overlay->second.settings.ApplyTo(&settings);
    const auto for_service = overlay->second.services.find(service);
    if (for_service != overlay->second.services.end()) {
      for_service->second.ApplyTo(&settings);
    }
  }
  return settings;
}

std::vector<std::string> EffectiveSettings::ServiceNames() const {
  std::vector<std::string> names;
  for (const auto& [name, unit] : this->services) {
    names.push_back(name);
  }
  return names;
}

}  // namespace poplarmoor
