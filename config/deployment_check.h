#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "config/config_problem.h"

namespace poplarmoor {

/// Parsed configuration file that is valid by its JSON Schema.
struct ConfigDocument {
  std::string path;
  const nlohmann::json* json = nullptr;
};

/// Checks the rules for a base file that its JSON Schema cannot express.
/// @param base Base file.
/// @returns All problems of the base file; empty when there are none.
std::vector<ConfigProblem> CheckBase(const ConfigDocument& base);

/// Checks the rules for overlays that their JSON Schema cannot express.
/// @param base Base file.
/// @param overlays Overlays for sites of the base file.
/// @returns All problems of the overlays; empty when there are none.
std::vector<ConfigProblem> CheckOverlays(const ConfigDocument& base,
                                         const std::vector<ConfigDocument>& overlays);

}  // namespace poplarmoor
