#include "telemetry/span_record.h"

#include <nlohmann/json.hpp>

namespace poplarmoor {

namespace {

std::string UnixNanos(std::chrono::system_clock::time_point time) {
  // OTLP/JSON writes 64-bit numbers as text.
  return std::to_string(
      std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

}  // namespace

std::string SpanRecord::ToJson() const {
  nlohmann::ordered_json span;
  span["traceId"] = this->trace_id;
  span["spanId"] = this->span_id;
  if (!this->parent_span_id.empty()) {
    span["parentSpanId"] = this->parent_span_id;
  }
  span["name"] = this->name;
  span["startTimeUnixNano"] = UnixNanos(this->start);
  span["endTimeUnixNano"] = UnixNanos(this->end);
  auto attributes = nlohmann::ordered_json::array();
  const auto add = [&attributes](const std::string& key, const std::string& value) {
    attributes.push_back({{"key", key}, {"value", {{"stringValue", value}}}});
  };
  if (!this->daemon.empty()) {
    add("service.instance.id", this->daemon);
  }
  for (const auto& [key, value] : this->attributes) {
    add(key, value);
  }
  span["attributes"] = std::move(attributes);
  span["status"]["code"] = this->failed ? "STATUS_CODE_ERROR" : "STATUS_CODE_OK";
  if (!this->status_message.empty()) {
    span["status"]["message"] = this->status_message;
  }
  return span.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace poplarmoor
