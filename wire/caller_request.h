#pragma once

#include <optional>
#include <string>

#include "kernel/statement_request.h"

namespace poplarmoor {

/// Request of a caller whose tokens are not yet verified.
struct CallerRequest {
  StatementRequest statement;        // Deadline, required position and trace ids are not set.
  std::string session;               // Session token; may be empty.
  std::string transaction;           // Transaction token; empty outside transactions.
  bool own_writes = true;            // Reads must see the session's own writes.
  std::optional<Duration> deadline;  // Time limit counted from the receipt of the request.
};

}  // namespace poplarmoor
