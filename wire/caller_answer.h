#pragma once

#include <string>

#include "kernel/statement_result.h"

namespace poplarmoor {

/// One answer to a caller.
struct CallerAnswer {
  StatementResult result;
  std::string request_id;
  std::string session;      // New session token; empty when there is none.
  std::string transaction;  // Transaction token, in the answer to a begin.
  std::string trace_id;
  std::string field;  // Field that a kBadRequest or kBadToken refers to; may be empty.
};

}  // namespace poplarmoor
