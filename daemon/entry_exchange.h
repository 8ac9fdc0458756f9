#pragma once

#include <string>
#include <utility>

#include "kernel/statement_request.h"
#include "telemetry/span.h"
#include "wire/caller_answer.h"

namespace poplarmoor {

/// One request of a caller while it is answered.
struct EntryExchange {
  explicit EntryExchange(Span span) : span(std::move(span)) {}

  Span span;
  CallerAnswer answer;
  std::string service;  // Empty until the request is validated.
  Rank rank = Rank::kStandard;
  Operation operation = Operation::kRead;
};

}  // namespace poplarmoor
