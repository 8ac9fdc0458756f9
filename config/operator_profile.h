#pragma once

#include <string>
#include <vector>

namespace poplarmoor {

/// Addresses and token file with which the command line reaches one deployment.
struct OperatorProfile {
  std::string platform;              // Platform address, "IP:port".
  std::vector<std::string> daemons;  // Daemons' operators' listeners, "IP:port" each.
  std::string operator_token_file;   // Path of the token of the operators' API.
};

/// @param path Path of a profile; relative paths in the profile start at its directory.
/// @returns The profile.
/// @throws ConfigError with all problems.
OperatorProfile ReadOperatorProfile(const std::string& path);

}  // namespace poplarmoor
