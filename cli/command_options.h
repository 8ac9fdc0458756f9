#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cli/table.h"

namespace poplarmoor {

/// Options of one run of the command line.
struct CommandOptions {
  std::vector<std::string> arguments;  // Positional arguments after the command.
  std::string platform;                // "IP:port".
  std::vector<std::string> daemons;    // Operators' listeners.
  std::string token_file;
  std::vector<std::string> daemon_settings;  // Of validate.
  std::string kind = "config";               // Of get.
  bool allow_removal = false;                // Of apply.
  int wait_seconds = 0;                      // Of apply; 0: do not wait.
  std::optional<uint64_t> if_revision;       // Of apply.
  std::chrono::milliseconds timeout{3000};   // Of one call.
  OutputFormat output = OutputFormat::kTable;
};

}  // namespace poplarmoor
