#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/units.h"

namespace poplarmoor {

/// Computes the effective settings of a service at a site from the configuration units. Not
/// thread-safe.
class EffectiveSettings {
 public:
  /// Stores one unit in place of its previous version. A malformed unit leaves the settings
  /// unchanged, so that the other units still take effect.
  /// @param name Name of the platform object: "common", "service.NAME" or "site.SITE".
  /// @param content Value of the platform object as JSON text.
  /// @throws ConfigError when the content is malformed or the name has none of these forms.
  void Update(const std::string& name, const std::string& content);

  /// @param service Exact name of a service.
  /// @param site Site whose overrides apply; empty: no site's overrides apply.
  /// @returns The effective settings; nothing when the service, its pool or the unit "common" is
  ///     unknown, or when a site is given that the service does not list.
  std::optional<ServiceSettings> Find(const std::string& service, const std::string& site) const;

  /// @returns The names of all services, sorted.
  std::vector<std::string> ServiceNames() const;

  /// @returns The failure domain of each site, by site name.
  const std::map<std::string, std::string>& SiteFailureDomains() const {
    return this->common.sites;
  }

 private:
  CommonUnit common;
  std::map<std::string, ServiceUnit> services;
  std::map<std::string, SiteUnit> sites;
};

}  // namespace poplarmoor
