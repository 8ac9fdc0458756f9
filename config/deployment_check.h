#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "config/config_problem.h"

namespace poplarmoor {

/// A parsed configuration file that its JSON Schema has accepted.
struct ConfigDocument {
  std::string path;
  const nlohmann::json* json = nullptr;
};

/// Checks the meaning of a base file.
/// @param base Base file.
/// @returns All problems.
std::vector<ConfigProblem> CheckBase(const ConfigDocument& base);

/// Checks the meaning of overlays.
/// @param base Base file.
/// @param overlays Overlays of its sites.
/// @returns All problems of the overlays.
std::vector<ConfigProblem> CheckOverlays(const ConfigDocument& base,
                                         const std::vector<ConfigDocument>& overlays);

}  // namespace poplarmoor
