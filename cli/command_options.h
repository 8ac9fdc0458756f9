#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cli/table.h"

namespace poplarmoor {

/// Parsed arguments and options of one command.
struct CommandOptions {
  std::vector<std::string> arguments;  // Positional arguments after the command's name.
  std::string platform;                // Platform address, "IP:port".
  std::vector<std::string> daemons;    // Addresses at which daemons serve the operators' API.
  std::string token_file;
  std::vector<std::string> daemon_settings;  // Daemon settings files that `validate` checks.
  std::string kind = "config";               // Kind of platform object that `get` prints.
  bool allow_removal = false;                // Lets `apply` remove units that the files lack.
  // Maximum time that `apply` waits until all daemons have the new configuration; 0: no wait.
  int wait_seconds = 0;
  // `apply` changes nothing unless the platform has this configuration revision; empty: any
  // revision.
  std::optional<uint64_t> if_revision;
  std::chrono::milliseconds timeout{3000};  // Time limit of one call to the platform or a daemon.
  OutputFormat output = OutputFormat::kTable;
};

}  // namespace poplarmoor
