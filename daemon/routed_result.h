#pragma once

#include <string>

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Outcome of a request as the entry daemon receives it.
struct RoutedResult {
  StatementResult result;

  // Daemon whose answer was received last, or the owner of the request's transaction; empty for a
  // request outside transactions that no daemon answered.
  std::string owner;
  std::string owner_address;  // Address of the owner's peer listener, "IP:port".
};

}  // namespace poplarmoor
