#pragma once

#include <string>

#include "kernel/endpoint_status.h"
#include "kernel/log_position.h"
#include "kernel/name_table.h"
#include "kernel/reason.h"

namespace poplarmoor {

/// Value of the required `status` field of an endpoint's answer.
enum class AnswerStatus { kOk, kRefused, kError };

inline constexpr NameTable<AnswerStatus, 3> kAnswerStatusNames{{{
    {AnswerStatus::kOk, "ok"},
    {AnswerStatus::kRefused, "refused"},
    {AnswerStatus::kError, "error"},
}}};

/// Answer of an endpoint to any operation.
struct EndpointAnswer {
  AnswerStatus status = AnswerStatus::kError;
  // Value that `reason_text` names; kNone when that text is empty, and kInternal when this daemon
  // does not know the name.
  Reason reason = Reason::kNone;
  std::string reason_text;  // Name of the reason as the endpoint sent it; may be empty.
  std::string message;      // Human-readable explanation of the answer; may be empty.
  std::string request_id;   // Id of the answered request.
  EndpointStatus endpoint;
  std::string result;  // Result of the statement as JSON text; empty: none.
  // Log position of the executed request. In the answer to an `outcome` request: log position of
  // the request asked about, if that request has run.
  LogPosition position;
  bool duplicate = false;  // True: the endpoint had already run a request with the same id.
  // Set only in the answer to an `outcome` request: whether the request asked about has run.
  bool found = false;
  // Set only in the answer to a `fence` request: whether the endpoint granted the term to the
  // proposer that the request names.
  bool granted = false;
};

}  // namespace poplarmoor
