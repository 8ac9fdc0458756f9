#pragma once

#include <string>

#include "kernel/verdict.h"

namespace poplarmoor {

/// Outcome of one call, as the caller sees it.
struct CallOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  std::string reason;  // Reason unless the verdict is kRan; "client:..." comes from the load tool.
  std::string echoed_id;  // Request id that the answer contains.
  std::string value;  // Result: a string without quotes, another type as JSON text, "" for null.
  bool by_replica = false;
  bool cut = false;  // The connection was closed while the call was in flight.
};

}  // namespace poplarmoor
