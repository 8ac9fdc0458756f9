#pragma once

#include <string>

#include "kernel/endpoint_status.h"
#include "kernel/log_position.h"
#include "kernel/name_table.h"
#include "kernel/reason.h"

namespace poplarmoor {

/// First field of every endpoint answer.
enum class AnswerStatus { kOk, kRefused, kError };

inline constexpr NameTable<AnswerStatus, 3> kAnswerStatusNames{{{
    {AnswerStatus::kOk, "ok"},
    {AnswerStatus::kRefused, "refused"},
    {AnswerStatus::kError, "error"},
}}};

/// One answer of an endpoint, to any operation.
struct EndpointAnswer {
  AnswerStatus status = AnswerStatus::kError;
  Reason reason = Reason::kNone;  // kInternal when the endpoint's reason is not known here.
  std::string reason_text;        // As the endpoint named it.
  std::string message;            // For people; may be empty.
  std::string request_id;         // Echo of the request's id.
  EndpointStatus endpoint;
  std::string result;      // JSON text; empty when there is none.
  LogPosition position;    // Of the executed or found request.
  bool duplicate = false;  // The request id had run before.
  bool found = false;      // Answer to outcome.
  bool granted = false;    // Answer to fence.
};

}  // namespace poplarmoor
