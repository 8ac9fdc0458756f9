#pragma once

#include <optional>
#include <string>

#include "kernel/endpoint_status.h"
#include "kernel/log_position.h"
#include "kernel/reason.h"
#include "kernel/time.h"
#include "kernel/verdict.h"

namespace poplarmoor {

/// Outcome of one request, at any hop.
struct StatementResult {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  std::string message;   // For people.
  std::string result;    // Serialized JSON answer of the endpoint.
  LogPosition position;  // Of an acknowledged write, or of the state that was read.
  std::string endpoint;  // That answered; empty when none did.
  bool from_primary = false;
  std::string transaction;               // Set by Operation::kBegin.
  Duration retry_after{0};               // Hint on a refusal.
  std::optional<EndpointStatus> status;  // Of the endpoint, when it answered.
};

}  // namespace poplarmoor
