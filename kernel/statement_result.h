#pragma once

#include <optional>
#include <string>

#include "kernel/endpoint_status.h"
#include "kernel/log_position.h"
#include "kernel/reason.h"
#include "kernel/time.h"
#include "kernel/verdict.h"

namespace poplarmoor {

/// Result of one request, as the endpoint, the owner or the entry daemon returns it.
struct StatementResult {
  Verdict verdict = Verdict::kNotRun;
  Reason reason = Reason::kNone;
  std::string message;   // Human-readable explanation.
  std::string result;    // Serialized JSON answer of the endpoint.
  LogPosition position;  // Log position of the acknowledged write, or of the data that was read.
  std::string endpoint;  // Endpoint that answered; empty when none did.
  bool from_primary = false;
  std::string transaction;  // Id of the new transaction at its owner; set for Operation::kBegin.
  // Time that the caller of a refused request should wait before a retry; 0: no hint.
  Duration retry_after{0};
  std::optional<EndpointStatus> status;  // Status of the endpoint, when it answered.
};

}  // namespace poplarmoor
