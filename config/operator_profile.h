#pragma once

#include <string>
#include <vector>

namespace poplarmoor {

/// Addresses and token file with which the command line reaches one deployment.
struct OperatorProfile {
  std::string platform;  // Platform address, "IP:port".
  // Addresses at which the daemons serve the operators' API, "IP:port" each.
  std::vector<std::string> daemons;
  std::string operator_token_file;  // Path of the file with the operators' API token.
};

/// @param path Path of a profile; relative paths in it are resolved from the profile's
///     directory.
/// @returns The profile.
/// @throws ConfigError with all problems.
OperatorProfile ReadOperatorProfile(const std::string& path);

}  // namespace poplarmoor
