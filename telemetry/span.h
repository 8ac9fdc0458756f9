#pragma once

#include <string>
#include <string_view>

#include "telemetry/span_record.h"

namespace poplarmoor {

class SpanStore;

/// @returns A new random W3C trace id, 32 hex digits.
std::string NewTraceId();

/// @returns A new random W3C span id, 16 hex digits.
std::string NewSpanId();

/// One unit of work of a trace. The span ends when it is destroyed, unless End() was called before.
/// When it ends, it is added to the store and, if the settings say so, written to the log. Only one
/// thread or coroutine at a time may use a span.
class Span {
 public:
  /// @param store Store that keeps the span after its end; must outlive the span. Null: the span is
  ///     not kept.
  /// @param name Name of the work, for example "entry.statement".
  /// @param trace_id Trace that the span belongs to; an empty id starts a new trace.
  /// @param parent_span_id Id of the span that caused the new span; empty for a root span.
  Span(SpanStore* store, std::string name, std::string trace_id, std::string parent_span_id);
  Span(Span&& other) noexcept;
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;
  Span& operator=(Span&&) = delete;
  ~Span();

  /// @param key Name of the attribute, for example "pm.verdict".
  /// @param value Value of the attribute. Never pass secrets or statements.
  void SetAttribute(std::string_view key, std::string_view value);

  /// Marks the span as failed.
  /// @param message Why the work failed.
  void SetFailed(std::string_view message);

  /// Ends the span now instead of when it is destroyed. Further calls of End() have no effect.
  void End();

  const std::string& TraceId() const { return this->record.trace_id; }
  const std::string& SpanId() const { return this->record.span_id; }

  /// @returns Value of the W3C traceparent header to send with requests that this span causes.
  std::string Traceparent() const;

 private:
  SpanStore* store;
  SpanRecord record;
  bool ended = false;
};

}  // namespace poplarmoor
