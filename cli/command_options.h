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
  std::vector<std::string> daemons;    // Addresses of the daemons' operators' listeners.
  std::string token_file;
  std::vector<std::string> daemon_settings;  // Daemon settings files that `validate` checks.
  std::string kind = "config";               // Kind of platform object that `get` prints.
  bool allow_removal = false;                // Lets `apply` remove units that the files lack.
  int wait_seconds = 0;                      // Time that `apply` waits for the daemons; 0: none.
  std::optional<uint64_t> if_revision;       // Revision that `apply` requires on the platform.
  std::chrono::milliseconds timeout{3000};   // Time limit of one call.
  OutputFormat output = OutputFormat::kTable;
};

}  // namespace poplarmoor
