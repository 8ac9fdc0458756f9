#pragma once

#include <optional>
#include <string>
#include <vector>

#include "kernel/log_position.h"
#include "session/endpoint_line.h"
#include "session/statement_error.h"

namespace poplarmoor {

/// A complete answer to one statement.
struct StatementAnswer {
  std::vector<std::string> rows;
  std::string signature;                // Of success: the endpoint's proof that it ran.
  std::optional<StatementError> error;  // Nothing on success.
  std::string error_text;               // Code-specific text of the error.
  TransactionState state = TransactionState::kNone;
  std::optional<LogPosition> position;
};

}  // namespace poplarmoor
