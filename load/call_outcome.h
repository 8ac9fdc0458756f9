#pragma once

#include <string>

#include "kernel/verdict.h"

namespace poplarmoor {

/// What became of one call, as the caller sees it.
struct CallOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  std::string reason;     // Reason of a verdict other than kRan; "client:..." is the tool's own.
  std::string echoed_id;  // Request id in the answer.
  std::string value;      // The result when it is a string, otherwise its JSON text; "" for null.
  bool by_replica = false;
  bool cut = false;  // The connection was closed while the call was in flight.
};

}  // namespace poplarmoor
