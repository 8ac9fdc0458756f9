#pragma once

#include <string>
#include <utility>

#include "kernel/statement_request.h"
#include "telemetry/span.h"
#include "wire/caller_answer.h"

namespace poplarmoor {

/// State of one caller's request, kept by the entry daemon until the request is answered.
struct EntryExchange {
  explicit EntryExchange(Span span) : span(std::move(span)) {}

  Span span;
  CallerAnswer answer;
  std::string service;  // Empty until the request has been validated.
  Rank rank = Rank::kStandard;
  Operation operation = Operation::kRead;
};

}  // namespace poplarmoor
