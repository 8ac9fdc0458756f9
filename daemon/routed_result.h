#pragma once

#include <string>

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Outcome of a caller's request, and the owner daemon from which the entry daemon received it.
struct RoutedResult {
  StatementResult result;

  // Name of the owner daemon that answered; empty when none did. For a request in a transaction,
  // the owner of the transaction, even if it did not answer.
  std::string owner;
  std::string owner_address;  // Address of the owner's peer listener, "IP:port".
};

}  // namespace poplarmoor
