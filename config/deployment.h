#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/config_problem.h"

namespace poplarmoor {

/// Path and text of a configuration file.
struct ConfigFile {
  std::string path;  // File name for problem reports.
  std::string text;
};

/// Checked configuration of one deployment, split into platform objects.
struct Deployment {
  std::string name;
  std::map<std::string, std::string> units;  // JSON text of each unit, by unit name.
  // JSON text of the initial group object of each service, by service name.
  std::map<std::string, std::string> groups;
};

/// Checks a base file and the overlays of its sites and splits them into platform objects.
/// @param base Base file.
/// @param overlays Overlays, at most one for each site.
/// @returns The deployment.
/// @throws ConfigError with all problems of all files.
Deployment ParseDeployment(const ConfigFile& base, const std::vector<ConfigFile>& overlays);

/// @param base_path Path of a base file.
/// @param overlay_paths Paths of overlays.
/// @returns The deployment.
/// @throws ConfigError with all problems of all files.
Deployment ReadDeployment(const std::string& base_path,
                          const std::vector<std::string>& overlay_paths);

}  // namespace poplarmoor
