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
  Reason reason = Reason::kNone;  // kInternal when this daemon does not know `reason_text`.
  std::string reason_text;        // Reason as the endpoint sent it.
  std::string message;            // Human-readable explanation; may be empty.
  std::string request_id;         // Id of the answered request.
  EndpointStatus endpoint;
  std::string result;      // Result of the statement as JSON text; empty: none.
  LogPosition position;    // Log position of the executed or found request.
  bool duplicate = false;  // The endpoint had already run a request with this id.
  bool found = false;      // In answers to outcome: a request with this id has run.
  bool granted = false;    // In answers to fence: the endpoint granted the term to the proposer.
};

}  // namespace poplarmoor
