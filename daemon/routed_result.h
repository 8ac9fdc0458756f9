#pragma once

#include <string>

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Outcome of a request at its entry.
struct RoutedResult {
  StatementResult result;
  std::string owner;          // Daemon that gave the answer; empty when none did.
  std::string owner_address;  // Of its peer listener, "IP:port".
};

}  // namespace poplarmoor
