#pragma once

#include <optional>
#include <string>

#include "kernel/statement_request.h"

namespace poplarmoor {

/// Decoded request of a caller. Its session and transaction tokens are not yet verified.
struct CallerRequest {
  // The decoder leaves the deadline, the required position and the trace ids unset.
  StatementRequest statement;
  std::string session;      // Session token; empty when the caller sent none.
  std::string transaction;  // Transaction token; empty outside transactions.
  bool own_writes = true;   // Whether a read must see the earlier writes of its session.
  // Time limit, counted from the receipt of the request; nothing when the caller set none.
  std::optional<Duration> deadline;
};

}  // namespace poplarmoor
