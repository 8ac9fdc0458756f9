#pragma once

#include <string>
#include <utility>

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Makes the result of a request that is refused.
/// @param reason Why the request does not run.
/// @param message Human-readable explanation.
/// @returns A result with the verdict kNotRun.
inline StatementResult MakeRefusal(Reason reason, std::string message) {
  StatementResult result;
  result.reason = reason;
  result.message = std::move(message);
  return result;
}

}  // namespace poplarmoor
