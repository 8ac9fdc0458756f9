#include "wire/endpoint_codec.h"

#include <utility>

#include "wire/json_fields.h"

namespace poplarmoor {

using nlohmann::json;

namespace {

constexpr size_t kMaxMessage = 4096;  // Longest `message` field of an answer, in bytes.
// Largest accepted staleness in an endpoint's answer, in milliseconds. A much larger one would
// overflow a Duration.
constexpr uint64_t kMaxStaleness = 1ULL << 40;
// Largest accepted number of running statements in an endpoint's answer.
constexpr uint64_t kMaxActive = 1'000'000;
constexpr NameTable<bool, 2> kRoleNames{{{{true, "primary"}, {false, "replica"}}}};

// Serializes to JSON. Replaces bytes that are not UTF-8, because ids from a peer may contain such
// bytes, but JSON text may not.
std::string Dump(const json& object) {
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string EncodeExecute(const StatementRequest& request, uint64_t term, bool transaction) {
  const bool is_write =
      request.operation == Operation::kWrite || request.operation == Operation::kTransactionWrite;
  json object{{"request_id", request.request_id},
              {"term", term},
              {"kind", is_write ? "write" : "read"},
              {"transaction", transaction}};
  if (request.required.term != 0) {
    object["min"] = {{"term", request.required.term}, {"index", request.required.index}};
  }
  if (request.max_staleness) {
    object["max_staleness_ms"] = ToMillis(*request.max_staleness);
  }
  std::string text = Dump(object);
  // The statement is already JSON text that the proxy does not interpret, so it is appended without
  // parsing.
  text.pop_back();
  text += ",\"statement\":" + request.statement + "}";
  return text;
}

std::string EncodeEndpointOperation(const std::string& request_id, uint64_t term) {
  return Dump(json{{"request_id", request_id}, {"term", term}});
}

std::string EncodeStatusPoll(uint64_t wait_index, Duration timeout) {
  return Dump(json{{"wait_index", wait_index}, {"timeout_ms", ToMillis(timeout)}});
}

std::string EncodeFence(uint64_t term, const std::string& proposer) {
  return Dump(json{{"term", term}, {"proposer", proposer}});
}

std::string EncodePromote(uint64_t term, const std::string& proposer, uint64_t start_index) {
  return Dump(json{{"term", term}, {"proposer", proposer}, {"start_index", start_index}});
}

std::string EncodeFollow(uint64_t term, const std::string& primary, const std::string& address) {
  return Dump(json{{"term", term}, {"primary", primary}, {"address", address}});
}

EndpointAnswer DecodeEndpointAnswer(const std::string& body) {
  const JsonFields fields(body);
  EndpointAnswer answer;
  answer.status = fields.RequiredName("status", kAnswerStatusNames);
  answer.reason_text = fields.OptionalString("reason", JsonFields::kMaxName);
  if (!answer.reason_text.empty()) {
    answer.reason = kReasonNames.Find(answer.reason_text).value_or(Reason::kInternal);
  }
  answer.message = fields.OptionalString("message", kMaxMessage);
  answer.request_id = fields.OptionalString("request_id", JsonFields::kMaxName);
  answer.endpoint.endpoint = fields.OptionalString("endpoint", JsonFields::kMaxName);
  if (fields.Has("role")) {
    answer.endpoint.is_primary = fields.RequiredName("role", kRoleNames);
  }
  answer.endpoint.term = fields.OptionalUint("term", 0);
  answer.endpoint.received = fields.OptionalUint("received", 0);
  answer.endpoint.replayed = fields.OptionalUint("replayed", 0);
  answer.endpoint.last = fields.OptionalPosition("last");
  answer.endpoint.staleness =
      std::chrono::milliseconds(fields.OptionalUint("staleness_ms", 0, kMaxStaleness));
  answer.endpoint.active = static_cast<int>(fields.OptionalUint("active", 0, kMaxActive));
  answer.result = fields.OptionalJson("result");
  answer.position = fields.OptionalPosition("position");
  answer.duplicate = fields.OptionalBool("duplicate", false);
  answer.found = fields.OptionalBool("found", false);
  answer.granted = fields.OptionalBool("granted", false);
  return answer;
}

}  // namespace poplarmoor
