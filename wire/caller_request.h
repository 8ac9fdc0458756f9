#pragma once

#include <optional>
#include <string>

#include "kernel/statement_request.h"

namespace poplarmoor {

/// Decoded request of a caller. Its session and transaction tokens are not yet verified.
struct CallerRequest {
  StatementRequest statement;        // Deadline, required position and trace ids are not set.
  std::string session;               // Session token; may be empty.
  std::string transaction;           // Transaction token; empty outside transactions.
  bool own_writes = true;            // Whether reads must see the session's own writes.
  std::optional<Duration> deadline;  // Time limit counted from the receipt of the request.
};

}  // namespace poplarmoor
