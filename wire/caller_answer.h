#pragma once

#include <string>

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Answer to one request of a caller.
struct CallerAnswer {
  StatementResult result;
  std::string request_id;
  std::string session;      // New session token; empty if none.
  std::string transaction;  // Transaction token; only in the answer to begin.
  std::string trace_id;
  std::string field;  // Field that a kBadRequest or kBadToken refers to; may be empty.
};

}  // namespace poplarmoor
