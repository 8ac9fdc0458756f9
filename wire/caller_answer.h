#pragma once

#include <string>

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Answer to one request of a caller.
struct CallerAnswer {
  StatementResult result;
  std::string request_id;
  std::string session;  // Session token for the caller's next request; empty: none.
  // Token of the new transaction; set only in the answer to POST /v1/transactions.
  std::string transaction;
  std::string trace_id;
  std::string field;  // Request field that caused kBadRequest or kBadToken; may be empty.
};

}  // namespace poplarmoor
