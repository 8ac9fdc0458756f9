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
  std::string signature;                // On success: the endpoint's proof that the statement ran.
  std::optional<StatementError> error;  // Why the statement failed; empty on success.
  std::string error_text;  // Details of the error, in a format that depends on `error`.
  TransactionState state = TransactionState::kNone;
  std::optional<LogPosition> position;  // End of the endpoint's log, if the answer contains it.
};

}  // namespace poplarmoor
