#include "telemetry/span.h"

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "kernel/trace_id.h"
#include "telemetry/log.h"
#include "telemetry/log_line.h"
#include "telemetry/span_store.h"

namespace poplarmoor {

namespace {

uint64_t RandomNumber() {
  thread_local std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  // W3C trace context does not allow an id of zero.
  for (;;) {
    if (const uint64_t number = generator(); number != 0) {
      return number;
    }
  }
}

std::string FormatSpanLine(const SpanRecord& record) {
  if (CurrentLogFormat() == LogFormat::kJson) {
    return record.ToJson();
  }
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(record.end - record.start).count();
  std::vector<LogField> fields{{"traceId", record.trace_id},
                               {"spanId", record.span_id},
                               {"parentSpanId", record.parent_span_id},
                               {"name", record.name},
                               {"micros", micros},
                               {"failed", record.failed}};
  for (const auto& [key, value] : record.attributes) {
    fields.emplace_back(key, value);
  }
  return FormatLogLine(LogFormat::kText, record.end, LogLevel::kInfo, record.daemon, "span",
                       fields);
}

}  // namespace

std::string NewTraceId() {
  return FormatHex64(RandomNumber()) + FormatHex64(RandomNumber());
}

std::string NewSpanId() {
  return FormatHex64(RandomNumber());
}

Span::Span(SpanStore* store, std::string name, std::string trace_id, std::string parent_span_id)
    : store(store) {
  this->record.trace_id = trace_id.empty() ? NewTraceId() : std::move(trace_id);
  this->record.span_id = NewSpanId();
  this->record.parent_span_id = std::move(parent_span_id);
  this->record.name = std::move(name);
  this->record.daemon = CurrentLogDaemon();
  this->record.start = std::chrono::system_clock::now();
}

Span::Span(Span&& other) noexcept
    : store(other.store),
      record(std::move(other.record)),
      ended(std::exchange(other.ended, true)) {}

Span::~Span() {
  this->End();
}

void Span::SetAttribute(std::string_view key, std::string_view value) {
  this->record.attributes.emplace_back(key, value);
}

void Span::SetFailed(std::string_view message) {
  this->record.failed = true;
  this->record.status_message = message;
}

void Span::End() {
  if (std::exchange(this->ended, true)) {
    return;
  }
  this->record.end = std::chrono::system_clock::now();
  if (AreSpansLogged()) {
    WriteLogLine(FormatSpanLine(this->record));
  }
  if (this->store != nullptr) {
    this->store->Add(std::move(this->record));
  }
}

std::string Span::Traceparent() const {
  return "00-" + this->record.trace_id + "-" + this->record.span_id + "-01";
}

}  // namespace poplarmoor
