#pragma once

#include <string>

#include "kernel/verdict.h"

namespace poplarmoor {

/// Outcome of one call, as the caller sees it.
struct CallOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  std::string reason;     // Reason for a verdict other than kRan; the load tool sets "client:...".
  std::string echoed_id;  // Request id that the answer contains.
  std::string value;      // A string result as it is, any other result as JSON text; "" for null.
  bool by_replica = false;
  bool cut = false;  // The connection was closed while the call was in flight.
};

}  // namespace poplarmoor
