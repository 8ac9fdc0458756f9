#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace poplarmoor {

/// One finished span.
struct SpanRecord {
  std::string trace_id;        // W3C trace id, 32 hex digits.
  std::string span_id;         // W3C span id, 16 hex digits.
  std::string parent_span_id;  // Id of the span that caused this one; empty for a root span.
  std::string name;            // Name of the work, for example "entry.statement".
  std::string daemon;
  std::chrono::system_clock::time_point start;
  std::chrono::system_clock::time_point end;
  bool failed = false;         // Whether the work failed; the span's status is then ERROR.
  std::string status_message;  // Why the work failed; empty when it did not fail.
  std::vector<std::pair<std::string, std::string>> attributes;

  /// @returns The span as a JSON object with the field names of OpenTelemetry (OTLP/JSON).
  std::string ToJson() const;
};

}  // namespace poplarmoor
