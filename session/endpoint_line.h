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
  std::string text;  // For kRow, kComplete and kError: text after the keyword.
  StatementError error = StatementError::kOther;
  TransactionState state = TransactionState::kNone;  // For kReady.
  std::optional<LogPosition> position;               // For kReady: end of the endpoint's log.
};

}  // namespace poplarmoor
