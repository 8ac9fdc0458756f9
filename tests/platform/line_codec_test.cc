#include "platform/line_codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "session/statement_answer.h"

namespace poplarmoor::platform {
namespace {

TEST_CASE(
    "encoding a statement does not change its text, so that the endpoint runs exactly the "
    "statement of the caller") {
  const LineCodec codec;
  const CallerMessage message = codec.DecodeCaller("QUERY 5c0e WRITE 1a4  two  blanks ");
  CHECK(message.kind == CallerMessage::Kind::kStatement);
  CHECK(message.verb == StatementVerb::kWrite);
  CHECK(message.id == "5c0e");
  CHECK(codec.EncodeStatement(message.id, message.text, {}) ==
        "QUERY 5c0e WRITE 1a4  two  blanks \r\n");
  CHECK(codec.EncodeStatement("5c0e", "READ 1a4", {3, 1207}) ==
        "QUERY 5c0e WAITPOS 3.1207 READ 1a4\r\n");
}

TEST_CASE(
    "a malformed message from a caller is not decoded as a statement, and an invalid statement is "
    "not decoded as a valid one") {
  const LineCodec codec;
  for (const char* line : {"", "OPEN", "OPEN ", "HELLO x", "QUERY", "QUERY ", "query 1 READ a",
                           "QUERY - READ 1a4", "READY I -"}) {
    INFO(line);
    CHECK(codec.DecodeCaller(line).kind == CallerMessage::Kind::kMalformed);
  }
  for (const char* line :
       {"QUERY 1 ", "QUERY 1 DROP x", "QUERY 1 WAITPOS 1.2 READ a", "QUERY 1 PREPARE",
        "QUERY 1 PREPARE s", "QUERY 1 PREPARE s READ", "QUERY 1 PREPARE s BOTH q", "QUERY 1 SET",
        "QUERY 1 EXECUTE", "QUERY 1 STATUS", "QUERY 1 PAUSE 9", "QUERY 1 RESET"}) {
    INFO(line);
    const CallerMessage message = codec.DecodeCaller(line);
    CHECK(message.kind == CallerMessage::Kind::kStatement);
    CHECK(message.verb == StatementVerb::kUnknown);
  }
}

TEST_CASE(
    "decoding PREPARE, EXECUTE and BEGIN does not lose names, arguments or the read-only mode") {
  const LineCodec codec;
  const CallerMessage prepare = codec.DecodeCaller("QUERY 1 PREPARE s1 WRITE q2c x");
  CHECK(prepare.verb == StatementVerb::kPrepare);
  CHECK(prepare.name == "s1");
  CHECK_FALSE(prepare.read_only);
  CHECK(prepare.argument == "q2c x");
  const CallerMessage execute = codec.DecodeCaller("QUERY 1 EXECUTE s1 1a4 some data");
  CHECK(execute.name == "s1");
  CHECK(codec.ExecuteText("w00", execute.argument) == "EXECUTE w00 1a4 some data");
  CHECK(codec.DecodeCaller("QUERY 1 BEGIN READ").read_only);
  CHECK_FALSE(codec.DecodeCaller("QUERY 1 BEGIN").read_only);
}

TEST_CASE(
    "decoding an endpoint's answer does not lose its rows, signature, error or log position") {
  const LineCodec codec;
  CHECK(codec.DecodeEndpoint("ROW a b").text == "a b");
  CHECK(codec.DecodeEndpoint("COMPLETE 7.1f3").text == "7.1f3");
  const EndpointLine error = codec.DecodeEndpoint("ERROR READONLY i-7f3a");
  CHECK(error.error == StatementError::kReadOnly);
  CHECK(error.text == "i-7f3a");
  const EndpointLine ready = codec.DecodeEndpoint("READY T 3.1209");
  CHECK(ready.state == TransactionState::kOpen);
  CHECK(ready.position == LogPosition{3, 1209});
  CHECK_FALSE(codec.DecodeEndpoint("READY I -").position);
}

TEST_CASE("an invalid line from an endpoint is decoded as malformed and not as a success") {
  const LineCodec codec;
  for (const char* line : {"", "COMPLETE", "COMPLETE ", "READY", "READY X 1.2", "DONE 1"}) {
    INFO(line);
    CHECK(codec.DecodeEndpoint(line).kind == EndpointLine::Kind::kMalformed);
  }
  CHECK_FALSE(codec.DecodeEndpoint("READY I 3.x").position);
  CHECK_FALSE(codec.DecodeEndpoint("READY I 99999999999999999999.1").position);
}

TEST_CASE(
    "encoding an error answer omits its rows, so that callers do not take them for a result") {
  const LineCodec codec;
  StatementAnswer answer;
  answer.rows = {"x"};
  answer.error = StatementError::kOverloaded;
  answer.error_text = "no capacity";
  answer.state = TransactionState::kFailed;
  CHECK(codec.EncodeAnswer(answer) == "ERROR BUSY no capacity\r\nREADY E -\r\n");
  answer.error.reset();
  answer.signature = "7.1";
  answer.state = TransactionState::kNone;
  answer.position = LogPosition{3, 7};
  CHECK(codec.EncodeAnswer(answer) == "ROW x\r\nCOMPLETE 7.1\r\nREADY I 3.7\r\n");
}

TEST_CASE(
    "decoding an endpoint's malformed status report throws an error, so that a takeover does not "
    "use zero as the term and log position of the endpoint") {
  const LineCodec codec;
  const EndpointReport report = codec.DecodeReport("replica 3 3.1209 4 12 2 17");
  CHECK_FALSE(report.is_primary);
  CHECK(report.term == 3);
  CHECK(report.received == LogPosition{3, 1209});
  CHECK(report.active_pause_term == 4);
  for (const char* row :
       {"", "replica", "leader 3 3.1 0", "replica x 3.1 0", "replica 3 31 0", "replica 3 3.1"}) {
    INFO(row);
    CHECK_THROWS_AS(codec.DecodeReport(row), std::runtime_error);
  }
}

TEST_CASE("decoding arbitrary lines from callers and endpoints does not crash") {
  const LineCodec codec;
  const bool holds = rc::check([&codec] {
    const auto words = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("OPEN", "QUERY", "READY", "ERROR", "ROW", "COMPLETE", "I",
                                      "PREPARE", "READ", "-", "3.4", "", "\xff\x01", "EXECUTE"));
    std::string line;
    for (const std::string& word : words) {
      line += word + " ";
    }
    codec.DecodeCaller(line);
    codec.DecodeEndpoint(line);
  });
  CHECK(holds);
}

// Guards against API keys that reach an endpoint.
TEST_CASE(
    "an opening message to an endpoint names the organisation, and no key is decoded to text") {
  const LineCodec codec;
  CHECK(codec.EncodeOpen("ledger", "north", "i-1") == "OPEN ledger north i-1\r\n");
  CHECK(codec.EncodeOpen("ledger", "", "i-1") == "OPEN ledger poplarmoor i-1\r\n");
  CHECK(codec.DecodeCaller("OPEN orders u3f1").key == KeyIdOf("u3f1"));
  CHECK(codec.DecodeCaller("OPEN orders").key == 0);
  CHECK(codec.EncodeRefusal(StatementError::kUnauthorised, "x") == "ERROR AUTHFAIL x\r\n");
}

}  // namespace
}  // namespace poplarmoor::platform
