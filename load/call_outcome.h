#pragma once

#include <string>

#include "kernel/verdict.h"

namespace poplarmoor {

/// Outcome of one call, as the caller sees it.
struct CallOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  // Reason for a verdict other than kRan. Starts with "client:" if the reason comes from the load
  // tool and not from the answer to the call.
  std::string reason;
  std::string echoed_id;  // Request id that the answer contains.
  std::string value;  // Result: a string without quotes, another type as JSON text, "" for null.
  bool by_replica = false;
  bool cut = false;  // True if the connection was closed between the call and its answer.
};

}  // namespace poplarmoor
