#include "wire/caller_codec.h"

#include "wire/json_fields.h"

namespace poplarmoor {

using nlohmann::json;

namespace {

constexpr size_t kMaxToken = size_t{16} << 10;   // Longest session or transaction token, in bytes.
constexpr uint64_t kMaxStaleness = 604'800'000;  // Longest staleness bound, in ms (one week).
constexpr uint64_t kMaxSequence = 1'000'000;

/// Value of the `kind` field of a caller's request.
enum class Kind { kRead, kWrite };

constexpr NameTable<Kind, 2> kKindNames{{{{Kind::kRead, "read"}, {Kind::kWrite, "write"}}}};

void ReadDeadline(const JsonFields& fields, CallerRequest* request) {
  if (fields.Has("deadline_ms")) {
    const uint64_t max = static_cast<uint64_t>(ToMillis(kMaxDeadline));
    request->deadline = std::chrono::milliseconds(fields.RequiredUint("deadline_ms", max));
  }
}

void ReadRoutingFields(const JsonFields& fields, CallerRequest* request) {
  request->statement.service = fields.RequiredString("service", JsonFields::kMaxName);
  request->statement.site = fields.OptionalString("site", JsonFields::kMaxName);
  if (fields.Has("rank")) {
    request->statement.rank = fields.RequiredName("rank", kRankNames);
  }
  request->session = fields.OptionalString("session", kMaxToken);
  ReadDeadline(fields, request);
}

void ReadIdempotencyFields(const JsonFields& fields, CallerRequest* request) {
  request->statement.request_id = fields.OptionalString("request_id", JsonFields::kMaxName);
  request->statement.repeatable = fields.OptionalBool("repeatable", true);
}

unsigned RefusalStatus(Reason reason) {
  switch (reason) {
    case Reason::kBadRequest:
    case Reason::kBadToken:
      return 400;
    case Reason::kUnknownService:
      return 404;
    case Reason::kRequestIdReused:
    case Reason::kOutOfSequence:
    case Reason::kTransactionGone:
      return 409;
    case Reason::kOverloaded:
      return 429;
    default:
      return 503;
  }
}

}  // namespace

CallerRequest DecodeStatement(const std::string& body) {
  const JsonFields fields(body);
  CallerRequest request;
  ReadRoutingFields(fields, &request);
  ReadIdempotencyFields(fields, &request);
  const Kind kind = fields.RequiredName("kind", kKindNames);
  request.statement.operation = kind == Kind::kWrite ? Operation::kWrite : Operation::kRead;
  request.statement.statement = fields.RequiredJson("statement");
  const JsonFields freshness = fields.OptionalObject("freshness");
  request.own_writes = freshness.OptionalBool("own_writes", true);
  if (freshness.Has("max_staleness_ms")) {
    request.statement.max_staleness =
        std::chrono::milliseconds(freshness.OptionalUint("max_staleness_ms", 0, kMaxStaleness));
  }
  return request;
}

CallerRequest DecodeBegin(const std::string& body) {
  const JsonFields fields(body);
  CallerRequest request;
  ReadRoutingFields(fields, &request);
  ReadIdempotencyFields(fields, &request);
  request.statement.operation = Operation::kBegin;
  return request;
}

CallerRequest DecodeTransactionStatement(const std::string& body) {
  const JsonFields fields(body);
  CallerRequest request;
  request.transaction = fields.RequiredString("transaction", kMaxToken);
  request.statement.sequence = fields.RequiredUint("sequence", kMaxSequence);
  const Kind kind = fields.RequiredName("kind", kKindNames);
  request.statement.operation =
      kind == Kind::kWrite ? Operation::kTransactionWrite : Operation::kTransactionRead;
  request.statement.statement = fields.RequiredJson("statement");
  ReadIdempotencyFields(fields, &request);
  ReadDeadline(fields, &request);
  return request;
}

CallerRequest DecodeTransactionEnd(const std::string& body, Operation operation) {
  const JsonFields fields(body);
  CallerRequest request;
  request.transaction = fields.RequiredString("transaction", kMaxToken);
  request.session = fields.OptionalString("session", kMaxToken);
  request.statement.operation = operation;
  ReadIdempotencyFields(fields, &request);
  ReadDeadline(fields, &request);
  return request;
}

std::string EncodeAnswer(const CallerAnswer& answer) {
  const StatementResult& result = answer.result;
  json object;
  object["verdict"] = kVerdictNames.NameOf(result.verdict);
  object["request_id"] = answer.request_id;
  if (!answer.session.empty()) {
    object["session"] = answer.session;
  }
  if (!answer.transaction.empty()) {
    object["transaction"] = answer.transaction;
  }
  if (!result.endpoint.empty()) {
    object["endpoint"] = result.endpoint;
    object["served_by"] = result.from_primary ? "primary" : "replica";
  }
  if (result.reason != Reason::kNone) {
    object["reason"] = kReasonNames.NameOf(result.reason);
    object["message"] = result.message;
  }
  if (!answer.field.empty()) {
    object["field"] = answer.field;
  }
  if (result.retry_after > Duration::zero()) {
    object["retry_after_ms"] = ToMillis(result.retry_after + 999us);
  }
  object["trace_id"] = answer.trace_id;
  // Bytes that are not UTF-8 are replaced, because `message` may quote a malformed answer of an
  // endpoint and encoding it must not fail.
  std::string text = object.dump(-1, ' ', false, json::error_handler_t::replace);
  if (!result.result.empty()) {
    // The result is already JSON text, so it is appended without parsing.
    text.pop_back();
    text += ",\"result\":" + result.result + "}";
  }
  return text;
}

std::string EncodeOutcome(bool found) {
  return json{{"outcome", found ? "ran" : "not_found"}}.dump();
}

std::string EncodeError(Reason reason, const std::string& field, const std::string& message) {
  json error{{"reason", kReasonNames.NameOf(reason)}, {"message", message}};
  if (!field.empty()) {
    error["field"] = field;
  }
  return json{{"error", error}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

unsigned HttpStatusOf(Verdict verdict, Reason reason) {
  switch (verdict) {
    case Verdict::kRan:
      return 200;
    case Verdict::kNotRun:
      return RefusalStatus(reason);
    case Verdict::kMayHaveRun:
      return 504;
  }
  return 500;
}

}  // namespace poplarmoor
