#pragma once

#include <optional>
#include <string>

#include "kernel/log_position.h"
#include "session/statement_error.h"

namespace poplarmoor {

/// State of a connection's transaction.
enum class TransactionState { kNone, kOpen, kFailed };

inline constexpr NameTable<TransactionState, 3> kTransactionStateNames{{{
    {TransactionState::kNone, "none"},
    {TransactionState::kOpen, "open"},
    {TransactionState::kFailed, "failed"},
}}};

/// One line of an endpoint's answer, decoded.
struct EndpointLine {
  enum class Kind { kRow, kComplete, kError, kReady, kMalformed };

  Kind kind = Kind::kMalformed;
  std::string text;  // Text after the keyword; set for kRow, kComplete and kError.
  StatementError error = StatementError::kOther;     // Why the statement failed; set for kError.
  TransactionState state = TransactionState::kNone;  // Transaction state; set for kReady.
  std::optional<LogPosition> position;               // End of the endpoint's log; set for kReady.
};

}  // namespace poplarmoor
