#pragma once

#include <string>

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Outcome of a request as the entry daemon receives it.
struct RoutedResult {
  StatementResult result;

  // Name of the owner daemon that answered; empty when none did. For a request in a transaction,
  // the owner of the transaction, even if it did not answer.
  std::string owner;
  std::string owner_address;  // Address of the owner's peer listener, "IP:port".
};

}  // namespace poplarmoor
