#pragma once

#include <string>

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Outcome of a request as the entry daemon receives it.
struct RoutedResult {
  StatementResult result;
  std::string owner;          // Daemon that answered; empty when none did.
  std::string owner_address;  // Address of the owner's peer listener, "IP:port".
};

}  // namespace poplarmoor
