#pragma once

#include <string>

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Answer to one request of a caller.
struct CallerAnswer {
  StatementResult result;
  std::string request_id;
  std::string session;      // New session token; empty: none.
  std::string transaction;  // Transaction token; set only in the answer to a begin request.
  std::string trace_id;
  std::string field;  // Request field that caused kBadRequest or kBadToken; may be empty.
};

}  // namespace poplarmoor
