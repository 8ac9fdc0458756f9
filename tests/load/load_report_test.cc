#include "load/load_report.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <utility>

#include <boost/asio/io_context.hpp>

#include "load/config_watch.h"

namespace poplarmoor {
namespace {

RequestRecord MakeRecord(Rank rank, Verdict verdict, Duration sent, Duration answered) {
  RequestRecord record;
  record.service = "orders";
  record.rank = rank;
  record.kind = RequestKind::kWrite;
  record.verdict = verdict;
  record.reason = verdict == Verdict::kRan ? "" : "overloaded";
  record.sent = sent;
  record.answered = answered;
  return record;
}

TEST_CASE("the failover gap lasts until the end of the load if writes never succeed again") {
  LoadReport report;
  report.AddRecords({MakeRecord(Rank::kUrgent, Verdict::kRan, 0ms, 100ms),
                     MakeRecord(Rank::kUrgent, Verdict::kRan, 100ms, 400ms)},
                    {200ms, 200ms, 200ms}, 2400ms);
  CHECK(report.ToJson()["failover_gap_ms"]["orders"] == 2000.0);
}

TEST_CASE(
    "the failover gap is computed by the times of the answers, in whatever order they are "
    "recorded") {
  LoadReport report;
  report.AddRecords({MakeRecord(Rank::kUrgent, Verdict::kRan, 0ms, 900ms),
                     MakeRecord(Rank::kUrgent, Verdict::kRan, 0ms, 100ms),
                     MakeRecord(Rank::kUrgent, Verdict::kRan, 0ms, 400ms)},
                    {200ms, 200ms, 200ms}, 900ms);
  CHECK(report.ToJson()["failover_gap_ms"]["orders"] == 500.0);
}

TEST_CASE(
    "a refused request is counted by rank and reason, but not as answered within the target "
    "latency") {
  LoadReport report;
  report.AddRecords({MakeRecord(Rank::kBackground, Verdict::kNotRun, 0ms, 1ms),
                     MakeRecord(Rank::kBackground, Verdict::kRan, 0ms, 10ms),
                     MakeRecord(Rank::kBackground, Verdict::kRan, 0ms, 900ms)},
                    {200ms, 200ms, 200ms}, 1000ms);
  const auto json = report.ToJson();
  CHECK(json["ranks"]["background"]["offered"] == 3);
  CHECK(json["ranks"]["background"]["refused_not_run"] == 1);
  CHECK(json["ranks"]["background"]["in_target"] == 1);
  CHECK(json["ranks"]["background"]["p99_ms"] == 900.0);
  CHECK(json["reasons"]["not_run:overloaded"] == 1);
}

TEST_CASE(
    "a configuration revision counts as in force only when every daemon has it or a later one") {
  boost::asio::io_context context;
  ConfigWatch watch(context, {"a", "b"}, "token");
  watch.Observe("a", 5, 0ms);
  watch.Observe("b", 5, 0ms);
  watch.Observe("a", 7, 100ms);
  CHECK(watch.times().empty());
  watch.Observe("b", 6, 200ms);
  watch.Observe("b", 8, 500ms);
  watch.Observe("a", 8, 900ms);
  REQUIRE(watch.times().size() == 3);
  CHECK(watch.times()[0] == 100ms);  // Revision 6: "a" skips to 7 at 100 ms, "b" has 6 at 200 ms.
  CHECK(watch.times()[1] == 400ms);  // Revision 7: "a" has 7 at 100 ms, "b" skips to 8 at 500 ms.
  CHECK(watch.times()[2] == 400ms);  // Revision 8: "b" has 8 at 500 ms, "a" has 8 at 900 ms.
}

}  // namespace
}  // namespace poplarmoor
