#pragma once

#include <optional>
#include <string>

#include "kernel/endpoint_status.h"
#include "kernel/log_position.h"
#include "kernel/reason.h"
#include "kernel/time.h"
#include "kernel/verdict.h"

namespace poplarmoor {

/// Result of one request, from the endpoint, the owner or the entry daemon.
struct StatementResult {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  std::string message;   // Human-readable explanation.
  std::string result;    // Serialized JSON answer of the endpoint.
  LogPosition position;  // Position of an acknowledged write, or of the state that was read.
  std::string endpoint;  // Endpoint that answered; empty when none did.
  bool from_primary = false;
  std::string transaction;  // Id of the new transaction at its owner; set for Operation::kBegin.
  Duration retry_after{0};  // Hint for the caller after a refusal.
  std::optional<EndpointStatus> status;  // Status of the endpoint, when it answered.
};

}  // namespace poplarmoor
