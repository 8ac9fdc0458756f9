#pragma once

#include <string>
#include <vector>

namespace poplarmoor {

/// How the command line reaches one deployment.
struct OperatorProfile {
  std::string platform;              // "IP:port".
  std::vector<std::string> daemons;  // Operators' listeners, "IP:port" each.
  std::string operator_token_file;   // Token of the operators' API.
};

/// @param path Path of a profile. Relative paths in it start at its directory.
/// @returns The profile.
/// @throws ConfigError with all problems.
OperatorProfile ReadOperatorProfile(const std::string& path);

}  // namespace poplarmoor
