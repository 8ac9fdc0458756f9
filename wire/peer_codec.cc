#include "wire/peer_codec.h"

#include <algorithm>

#include "wire/msgpack_fields.h"

namespace poplarmoor {

namespace {

// Longest time until the deadline of a forwarded statement, in microseconds; a longer time from a
// peer is reduced to this one. A caller can set at most 600 s.
constexpr int64_t kMaxRemaining = 600'000'000;
// Longest staleness or retry delay that is read from a peer's message, in microseconds. A longer
// one is reduced to this one, because arithmetic on longer durations could overflow the
// 64 bits of a Duration.
constexpr int64_t kMaxMicros = int64_t{1} << 50;

Duration ReadMicros(const MsgpackFields& fields, std::string_view name, int64_t max) {
  return Duration(std::clamp<int64_t>(fields.Int(name), -max, max));
}

}  // namespace

std::string PackForward(const ForwardRequest& forward, TimePoint now) {
  const StatementRequest& statement = forward.statement;
  MsgpackWriter writer(16);
  writer.Field("endpoint", std::string_view(forward.endpoint));
  writer.Field("term", forward.term);
  writer.Field("request_id", std::string_view(statement.request_id));
  writer.Field("trace_id", std::string_view(statement.trace_id));
  writer.Field("span_id", std::string_view(statement.span_id));
  writer.Field("service", std::string_view(statement.service));
  writer.Field("site", std::string_view(statement.site));
  writer.Field("rank", kRankNames.NameOf(statement.rank));
  writer.Field("operation", kOperationNames.NameOf(statement.operation));
  writer.Bytes("statement", statement.statement);
  writer.Field("repeatable", statement.repeatable);
  writer.Position("required", statement.required);
  writer.Field("staleness_us", statement.max_staleness ? statement.max_staleness->count() : -1);
  writer.Field("remaining_us", (statement.deadline - now).count());
  writer.Field("transaction", std::string_view(statement.transaction));
  writer.Field("sequence", statement.sequence);
  return writer.Take();
}

ForwardRequest UnpackForward(const std::string& body, TimePoint now) {
  const MsgpackFields fields(body);
  ForwardRequest forward;
  StatementRequest& statement = forward.statement;
  forward.endpoint = fields.String("endpoint");
  forward.term = fields.Uint("term");
  statement.request_id = fields.String("request_id");
  statement.trace_id = fields.String("trace_id");
  statement.span_id = fields.String("span_id");
  statement.service = fields.String("service");
  statement.site = fields.String("site");
  statement.rank = fields.Name("rank", kRankNames);
  statement.operation = fields.Name("operation", kOperationNames);
  statement.statement = fields.String("statement");
  statement.repeatable = fields.Bool("repeatable");
  statement.required = fields.Position("required");
  const Duration staleness = ReadMicros(fields, "staleness_us", kMaxMicros);
  if (fields.Has("staleness_us") && staleness >= Duration::zero()) {
    statement.max_staleness = staleness;
  }
  statement.deadline = now + ReadMicros(fields, "remaining_us", kMaxRemaining);
  statement.transaction = fields.String("transaction");
  statement.sequence = fields.Uint("sequence");
  if (forward.endpoint.empty() || statement.service.empty()) {
    throw CodecError(statement.service.empty() ? "service" : "endpoint", "is missing");
  }
  return forward;
}

std::string PackResult(const StatementResult& result) {
  MsgpackWriter writer(result.status ? 18 : 9);
  writer.Field("verdict", kVerdictNames.NameOf(result.verdict));
  writer.Field("reason", kReasonNames.NameOf(result.reason));
  writer.Bytes("message", result.message);
  writer.Bytes("result", result.result);
  writer.Position("position", result.position);
  writer.Field("endpoint", std::string_view(result.endpoint));
  writer.Field("from_primary", result.from_primary);
  writer.Field("transaction", std::string_view(result.transaction));
  writer.Field("retry_after_us", result.retry_after.count());
  if (result.status) {
    const EndpointStatus& status = *result.status;
    writer.Field("status", true);
    writer.Field("status_endpoint", std::string_view(status.endpoint));
    writer.Field("is_primary", status.is_primary);
    writer.Field("term", status.term);
    writer.Field("received", status.received);
    writer.Field("replayed", status.replayed);
    writer.Position("last", status.last);
    writer.Field("staleness_us", status.staleness.count());
    writer.Field("active", status.active);
  }
  return writer.Take();
}

StatementResult UnpackResult(const std::string& body) {
  const MsgpackFields fields(body);
  StatementResult result;
  result.verdict = fields.Name("verdict", kVerdictNames);
  // A daemon of a newer version may send a reason that this version does not know; such a reason is
  // read as kInternal.
  result.reason = kReasonNames.Find(fields.String("reason")).value_or(Reason::kInternal);
  result.message = fields.String("message");
  result.result = fields.String("result");
  result.position = fields.Position("position");
  result.endpoint = fields.String("endpoint");
  result.from_primary = fields.Bool("from_primary");
  result.transaction = fields.String("transaction");
  result.retry_after = ReadMicros(fields, "retry_after_us", kMaxMicros);
  if (fields.Bool("status")) {
    EndpointStatus status;
    status.endpoint = fields.String("status_endpoint");
    status.is_primary = fields.Bool("is_primary");
    status.term = fields.Uint("term");
    status.received = fields.Uint("received");
    status.replayed = fields.Uint("replayed");
    status.last = fields.Position("last");
    status.staleness = ReadMicros(fields, "staleness_us", kMaxMicros);
    status.active = static_cast<int>(fields.Int("active"));
    result.status = status;
  }
  return result;
}

}  // namespace poplarmoor
