#pragma once

#include <optional>
#include <string>

#include "kernel/statement_request.h"

namespace poplarmoor {

/// One request as a caller sends it, before its tokens are verified.
struct CallerRequest {
  StatementRequest statement;        // Without deadline, position and ids of the trace.
  std::string session;               // Session token; may be empty.
  std::string transaction;           // Transaction token; empty outside transactions.
  bool own_writes = true;            // Reads must see the session's own writes.
  std::optional<Duration> deadline;  // Time limit from now.
};

}  // namespace poplarmoor
