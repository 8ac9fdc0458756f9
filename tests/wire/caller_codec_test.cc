#include "wire/caller_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "wire/codec_error.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

const json kStatement{{"service", "fold-ledger"},
                      {"site", "portmore"},
                      {"rank", "urgent"},
                      {"kind", "write"},
                      {"statement", {{"op", "get"}, {"key", "a"}}},
                      {"freshness", {{"own_writes", false}, {"max_staleness_ms", 1500}}},
                      {"deadline_ms", 250},
                      {"request_id", "r-1"},
                      {"repeatable", false},
                      {"session", "token"},
                      {"unknown", 1}};

template <typename Decode>
std::string InvalidField(const json& body, Decode decode) {
  try {
    decode(body.dump());
  } catch (const CodecError& error) {
    return error.field;
  }
  return "accepted";
}

TEST_CASE(
    "decoding a caller's statement does not lose fields and does not fail on unknown fields") {
  const CallerRequest request = DecodeStatement(kStatement.dump());
  CHECK(request.statement.service == "fold-ledger");
  CHECK(request.statement.site == "portmore");
  CHECK(request.statement.rank == Rank::kUrgent);
  CHECK(request.statement.operation == Operation::kWrite);
  CHECK(json::parse(request.statement.statement) == kStatement["statement"]);
  CHECK_FALSE(request.own_writes);
  CHECK(request.statement.max_staleness == Duration(1500ms));
  CHECK(request.deadline == Duration(250ms));
  CHECK(request.statement.request_id == "r-1");
  CHECK_FALSE(request.statement.repeatable);
  CHECK(request.session == "token");
}

// If a malformed field were accepted, the owner would run the statement with a default that the
// caller did not mean.
TEST_CASE(
    "a malformed field of a caller's statement is refused and not replaced by a default, and the "
    "error names the field") {
  const std::vector<std::pair<std::string, json>> cases{
      {"service", nullptr},
      {"service", 1},
      {"service", ""},
      {"service", std::string(300, 'x')},
      {"site", 1},
      {"rank", "highest"},
      {"rank", 2},
      {"kind", nullptr},
      {"kind", "delete"},
      {"deadline_ms", 0},
      {"deadline_ms", -1},
      {"deadline_ms", 1.5},
      {"deadline_ms", 600001},
      {"request_id", json::array()},
      {"request_id", std::string(257, 'x')},
      {"repeatable", "yes"},
      {"session", 5},
      {"session", std::string(17000, 'x')},
      {"freshness", 5},
  };
  for (const auto& [field, value] : cases) {
    INFO(field << " = " << value.dump().substr(0, 40));
    json body = kStatement;
    body[field] = value;
    CHECK(InvalidField(body, DecodeStatement) == field);
  }
  json body = kStatement;
  body.erase("statement");
  CHECK(InvalidField(body, DecodeStatement) == "statement");
  body = kStatement;
  body["freshness"] = {{"max_staleness_ms", -5}};
  CHECK(InvalidField(body, DecodeStatement) == "freshness.max_staleness_ms");
  body["freshness"] = {{"own_writes", 1}};
  CHECK(InvalidField(body, DecodeStatement) == "freshness.own_writes");
}

TEST_CASE("a request body that is not a JSON object is not accepted as a statement") {
  for (const std::string& body : {std::string(), std::string("{"), std::string("[1]"),
                                  std::string("\"text\""), std::string("{\"a\":\xff}")}) {
    CHECK_THROWS_AS(DecodeStatement(body), CodecError);
  }
}

// Serializing JSON recurses once per level, so a deeply nested statement could overflow the stack.
TEST_CASE("a deeply nested statement is refused, so that it does not overflow the stack") {
  const std::string deep = R"({"service":"s","kind":"read","statement":)" +
                           std::string(100000, '[') + std::string(100000, ']') + "}";
  CHECK_THROWS_WITH(DecodeStatement(deep), Catch::Contains("nests deeper"));
  const std::string quoted =
      R"({"service":"s","kind":"read","statement":"\")" + std::string(1000, '[') + "\"}";
  CHECK_NOTHROW(DecodeStatement(quoted));
}

TEST_CASE(
    "transaction requests with missing or malformed fields are not accepted, and the error names "
    "the field") {
  const json statement{{"transaction", "t"}, {"sequence", 3}, {"kind", "read"}, {"statement", 1}};
  const CallerRequest request = DecodeTransactionStatement(statement.dump());
  CHECK(request.transaction == "t");
  CHECK(request.statement.sequence == 3);
  CHECK(request.statement.operation == Operation::kTransactionRead);
  for (const char* field : {"transaction", "sequence", "kind", "statement"}) {
    json body = statement;
    body.erase(field);
    CHECK(InvalidField(body, DecodeTransactionStatement) == field);
  }
  json body = statement;
  body["sequence"] = 0;
  CHECK(InvalidField(body, DecodeTransactionStatement) == "sequence");
  CHECK(DecodeBegin(R"({"service":"s"})").statement.operation == Operation::kBegin);
  CHECK(InvalidField(json::object(), DecodeBegin) == "service");
  const auto decode_commit = [](const std::string& text) {
    return DecodeTransactionEnd(text, Operation::kCommit);
  };
  CHECK(decode_commit(R"({"transaction":"t","request_id":"c"})").statement.request_id == "c");
  CHECK(InvalidField(json::object(), decode_commit) == "transaction");
}

TEST_CASE(
    "encoding an answer does not lose the verdict, result or reason and does not fail on invalid "
    "UTF-8") {
  CallerAnswer answer;
  answer.request_id = "r";
  answer.session = "token";
  answer.trace_id = "0123";
  answer.result.verdict = Verdict::kRan;
  answer.result.endpoint = "e1";
  answer.result.result = R"({"n":1})";
  json body = json::parse(EncodeAnswer(answer));
  CHECK(body["verdict"] == "ran");
  CHECK(body["served_by"] == "replica");
  CHECK(body["result"] == json{{"n", 1}});
  CHECK_FALSE(body.contains("reason"));

  answer.result = StatementResult();
  answer.result.reason = Reason::kOverloaded;
  answer.result.message = "bytes that are not UTF-8: \xff";
  answer.result.retry_after = 1500us;
  body = json::parse(EncodeAnswer(answer));
  CHECK(body["verdict"] == "not_run");
  CHECK(body["reason"] == "overloaded");
  CHECK(body["retry_after_ms"] == 2);
  CHECK_FALSE(body.contains("endpoint"));
  CHECK(json::parse(EncodeError(Reason::kBadRequest, "kind", "is missing"))["error"]["field"] ==
        "kind");
}

// A caller that checks only the HTTP status repeats a request if the status says that the request
// did not run. A request that may have run must not be repeated in that way.
TEST_CASE("a request that may have run does not get the HTTP status of one that did not run") {
  CHECK(HttpStatusOf(Verdict::kRan, Reason::kNone) == 200);
  CHECK(HttpStatusOf(Verdict::kMayHaveRun, Reason::kOverloaded) == 504);
  CHECK(HttpStatusOf(Verdict::kNotRun, Reason::kBadToken) == 400);
  CHECK(HttpStatusOf(Verdict::kNotRun, Reason::kUnknownService) == 404);
  CHECK(HttpStatusOf(Verdict::kNotRun, Reason::kTransactionGone) == 409);
  CHECK(HttpStatusOf(Verdict::kNotRun, Reason::kOverloaded) == 429);
  CHECK(HttpStatusOf(Verdict::kNotRun, Reason::kNoQuorum) == 503);
}

}  // namespace
}  // namespace poplarmoor
