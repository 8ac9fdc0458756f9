#include "wire/peer_codec.h"

#include <catch2/catch.hpp>

#include "wire/codec_error.h"
#include "wire/msgpack_fields.h"

namespace poplarmoor {
namespace {

const TimePoint kNow{Duration(1'000'000)};

ForwardRequest MakeForward() {
  ForwardRequest forward;
  forward.endpoint = "e1";
  forward.term = 7;
  StatementRequest& statement = forward.statement;
  statement.request_id = "r";
  statement.trace_id = "0af7651916cd43dd8448eb211c80319c";
  statement.span_id = "b7ad6b7169203331";
  statement.service = "fold-ledger";
  statement.site = "portmore";
  statement.rank = Rank::kBackground;
  statement.operation = Operation::kTransactionWrite;
  statement.statement = R"({"op":"put"})";
  statement.repeatable = false;
  statement.required = {3, 9};
  statement.max_staleness = 250ms;
  statement.deadline = kNow + 40ms;
  statement.transaction = "t";
  statement.sequence = 5;
  return forward;
}

TEST_CASE(
    "packing a `forward` message does not lose fields, and the unpacked deadline does not depend "
    "on the sender's clock") {
  const TimePoint receiver_now{Duration(5)};
  const ForwardRequest forward = MakeForward();
  const ForwardRequest copy = UnpackForward(PackForward(forward, kNow), receiver_now);
  CHECK(copy.endpoint == forward.endpoint);
  CHECK(copy.term == forward.term);
  CHECK(copy.statement.request_id == forward.statement.request_id);
  CHECK(copy.statement.trace_id == forward.statement.trace_id);
  CHECK(copy.statement.span_id == forward.statement.span_id);
  CHECK(copy.statement.service == forward.statement.service);
  CHECK(copy.statement.site == forward.statement.site);
  CHECK(copy.statement.rank == forward.statement.rank);
  CHECK(copy.statement.operation == forward.statement.operation);
  CHECK(copy.statement.statement == forward.statement.statement);
  CHECK(copy.statement.repeatable == forward.statement.repeatable);
  CHECK(copy.statement.required == forward.statement.required);
  CHECK(copy.statement.max_staleness == forward.statement.max_staleness);
  CHECK(copy.statement.deadline == receiver_now + 40ms);
  CHECK(copy.statement.transaction == forward.statement.transaction);
  CHECK(copy.statement.sequence == forward.statement.sequence);
}

TEST_CASE("unpacking a `forward` message distinguishes an absent staleness bound from one of 0") {
  ForwardRequest forward = MakeForward();
  forward.statement.max_staleness.reset();
  CHECK_FALSE(UnpackForward(PackForward(forward, kNow), kNow).statement.max_staleness);
  forward.statement.max_staleness = Duration(0);
  CHECK(UnpackForward(PackForward(forward, kNow), kNow).statement.max_staleness == Duration(0));
}

TEST_CASE("packing a statement result does not lose fields, with or without an endpoint status") {
  StatementResult result;
  result.verdict = Verdict::kMayHaveRun;
  result.reason = Reason::kUnconfirmed;
  result.message = "message \xff";
  result.result = R"({"value":1})";
  result.position = {4, 12};
  result.endpoint = "e1";
  result.from_primary = true;
  result.transaction = "t";
  result.retry_after = 20ms;
  StatementResult copy = UnpackResult(PackResult(result));
  CHECK(copy.verdict == result.verdict);
  CHECK(copy.reason == result.reason);
  CHECK(copy.message == result.message);
  CHECK(copy.result == result.result);
  CHECK(copy.position == result.position);
  CHECK(copy.endpoint == result.endpoint);
  CHECK(copy.from_primary);
  CHECK(copy.transaction == result.transaction);
  CHECK(copy.retry_after == result.retry_after);
  CHECK_FALSE(copy.status);

  result.status = EndpointStatus{"e1", true, 4, 12, 11, {4, 12}, 7ms, 2};
  copy = UnpackResult(PackResult(result));
  REQUIRE(copy.status);
  CHECK(copy.status->endpoint == "e1");
  CHECK(copy.status->is_primary);
  CHECK(copy.status->term == 4);
  CHECK(copy.status->received == 12);
  CHECK(copy.status->replayed == 11);
  CHECK(copy.status->last == LogPosition{4, 12});
  CHECK(copy.status->staleness == Duration(7ms));
  CHECK(copy.status->active == 2);
}

// Each case except the last adds one field to a valid `forward` message. The message of the last
// case has only one field, an unknown rank.
TEST_CASE(
    "a malformed field of a `forward` message is not accepted, and the error names the field") {
  const auto invalid_field = [](auto fill) {
    MsgpackWriter writer(5);
    writer.Field("service", "s");
    writer.Field("endpoint", "e");
    writer.Field("rank", "urgent");
    writer.Field("operation", "read");
    fill(&writer);
    try {
      UnpackForward(writer.Take(), kNow);
    } catch (const CodecError& error) {
      return error.field;
    }
    return std::string("accepted");
  };
  CHECK(invalid_field([](auto* writer) { writer->Field("unknown", 1); }) == "accepted");
  CHECK(invalid_field([](auto* writer) { writer->Field("term", "x"); }) == "term");
  CHECK(invalid_field([](auto* writer) { writer->Field("term", -1); }) == "term");
  CHECK(invalid_field([](auto* writer) { writer->Field("request_id", 1); }) == "request_id");
  CHECK(invalid_field([](auto* writer) { writer->Field("repeatable", 1); }) == "repeatable");
  CHECK(invalid_field([](auto* writer) { writer->Field("required", 1); }) == "required");
  CHECK(invalid_field([](auto* writer) { writer->Field("remaining_us", "soon"); }) ==
        "remaining_us");
  CHECK(invalid_field([](auto* writer) { writer->Field("sequence", true); }) == "sequence");
  MsgpackWriter writer(1);
  writer.Field("rank", "first");
  CHECK_THROWS_WITH(UnpackForward(writer.Take(), kNow), Catch::Contains("rank"));
}

TEST_CASE("a `forward` message that is not exactly one msgpack map is not accepted") {
  const std::string whole = PackForward(MakeForward(), kNow);
  CHECK_THROWS_AS(UnpackForward("", kNow), CodecError);
  CHECK_THROWS_AS(UnpackForward("\x01", kNow), CodecError);
  CHECK_THROWS_AS(UnpackForward(whole + "\x01", kNow), CodecError);
  for (size_t size = 1; size < whole.size(); size += 7) {
    CHECK_THROWS_AS(UnpackForward(whole.substr(0, size), kNow), CodecError);
  }
  // A map header that announces four billion entries must not cause an allocation of that size.
  CHECK_THROWS_AS(UnpackForward("\xdf\xff\xff\xff\xff", kNow), CodecError);
}

// A peer with a broken clock may send a request with a huge time until its deadline.
TEST_CASE(
    "a huge time until the deadline in a `forward` message is limited, so that the deadline does "
    "not overflow") {
  ForwardRequest forward = MakeForward();
  forward.statement.deadline = TimePoint(Duration(INT64_MAX / 2));
  const auto copy = UnpackForward(PackForward(forward, kNow), kNow);
  CHECK(copy.statement.deadline <= kNow + 600s);
}

}  // namespace
}  // namespace poplarmoor
