#include "wire/endpoint_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "wire/codec_error.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

const json kAnswer{{"status", "ok"},
                   {"request_id", "r"},
                   {"endpoint", "e1"},
                   {"role", "primary"},
                   {"term", 4},
                   {"received", 12},
                   {"replayed", 11},
                   {"last", {{"term", 4}, {"index", 12}}},
                   {"staleness_ms", 7},
                   {"active", 2},
                   {"result", {{"value", 5}}},
                   {"position", {{"term", 4}, {"index", 12}}},
                   {"duplicate", true},
                   {"found", true},
                   {"granted", true}};

TEST_CASE(
    "encoding an `execute` request does not lose the term, log position, staleness bound or "
    "statement") {
  StatementRequest request;
  request.request_id = "r";
  request.operation = Operation::kWrite;
  request.statement = R"({"op":"put"})";
  request.required = {3, 9};
  request.max_staleness = 250ms;
  const json body = json::parse(EncodeExecute(request, 4, true));
  CHECK(body["kind"] == "write");
  CHECK(body["term"] == 4);
  CHECK(body["min"] == json{{"term", 3}, {"index", 9}});
  CHECK(body["max_staleness_ms"] == 250);
  CHECK(body["transaction"] == true);
  CHECK(body["statement"]["op"] == "put");
  request.required = {};
  request.max_staleness.reset();
  const json plain = json::parse(EncodeExecute(request, 4, false));
  CHECK_FALSE(plain.contains("min"));
  CHECK_FALSE(plain.contains("max_staleness_ms"));
}

TEST_CASE("encoding a request id that is not valid UTF-8 does not throw") {
  CHECK_NOTHROW(json::parse(EncodeEndpointOperation("\xff", 1)));
}

TEST_CASE("decoding an endpoint's answer does not lose fields") {
  const EndpointAnswer answer = DecodeEndpointAnswer(kAnswer.dump());
  CHECK(answer.status == AnswerStatus::kOk);
  CHECK(answer.request_id == "r");
  CHECK(answer.endpoint.endpoint == "e1");
  CHECK(answer.endpoint.is_primary);
  CHECK(answer.endpoint.term == 4);
  CHECK(answer.endpoint.received == 12);
  CHECK(answer.endpoint.replayed == 11);
  CHECK(answer.endpoint.last == LogPosition{4, 12});
  CHECK(answer.endpoint.staleness == Duration(7ms));
  CHECK(answer.endpoint.active == 2);
  CHECK(json::parse(answer.result) == json{{"value", 5}});
  CHECK(answer.position == LogPosition{4, 12});
  CHECK(answer.duplicate);
  CHECK(answer.found);
  CHECK(answer.granted);
}

TEST_CASE(
    "a malformed field of an endpoint's answer is not accepted, and the error names the field") {
  const std::vector<std::pair<std::string, json>> cases{
      {"status", nullptr}, {"status", "maybe"},  {"role", "leader"},  {"term", -1},
      {"received", "x"},   {"replayed", 1.5},    {"last", 3},         {"staleness_ms", -1},
      {"active", "many"},  {"position", "none"}, {"duplicate", 1},    {"found", "no"},
      {"granted", 0},      {"request_id", 7},    {"endpoint", false},
  };
  for (const auto& [field, value] : cases) {
    INFO(field << " = " << value);
    json body = kAnswer;
    body[field] = value;
    try {
      DecodeEndpointAnswer(body.dump());
      FAIL("the malformed field was accepted");
    } catch (const CodecError& error) {
      CHECK(error.field == field);
    }
  }
}

// An endpoint of a newer version may send a reason that this version does not know. The answer must
// still count as a refusal.
TEST_CASE(
    "an endpoint's refusal with an unknown reason is decoded as a refusal and keeps the reason as "
    "text") {
  const EndpointAnswer answer = DecodeEndpointAnswer(R"({"status":"refused","reason":"new"})");
  CHECK(answer.status == AnswerStatus::kRefused);
  CHECK(answer.reason == Reason::kInternal);
  CHECK(answer.reason_text == "new");
}

}  // namespace
}  // namespace poplarmoor
