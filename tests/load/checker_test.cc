#include "load/checker.h"

#include <catch2/catch.hpp>

#include "load/request_record.h"
#include "load/service_history.h"

namespace poplarmoor {
namespace {

/// Request records and a log without violations. Each test adds or changes records or log entries.
struct HistoryFixture {
  HistoryFixture() {
    this->AddWrite("w1", 0, "own-0");
    this->AddWrite("w2", 0, "own-0");
    this->AddWrite("w3", 1, "own-1").repeatable = false;
    this->AddRead("r1", 0, "own-0", "w2");
    this->AddTransaction("t1", 1);
    RequestRecord& refused = this->Add("x1", 1, RequestKind::kWrite, {"own-1"});
    refused.verdict = Verdict::kNotRun;
    this->Log("w1", {"own-0"});
    this->Log("w2", {"own-0"});
    this->Log("w3", {"own-1"});
    this->Log("t1", {"g-a", "g-b"});
  }

  RequestRecord& Add(const std::string& id,
                     int session,
                     RequestKind kind,
                     const std::vector<std::string>& keys) {
    RequestRecord record;
    record.request_id = id;
    record.session = session;
    record.service = "orders";
    record.kind = kind;
    record.keys = keys;
    record.verdict = Verdict::kRan;
    record.echoed_id = id;
    this->records.push_back(record);
    return this->records.back();
  }

  RequestRecord& AddWrite(const std::string& id, int session, const std::string& key) {
    RequestRecord& record = this->Add(id, session, RequestKind::kWrite, {key});
    record.values = {id};
    return record;
  }

  RequestRecord& AddRead(const std::string& id,
                         int session,
                         const std::string& key,
                         const std::string& value) {
    RequestRecord& record = this->Add(id, session, RequestKind::kRead, {key});
    record.values = {value};
    return record;
  }

  RequestRecord& AddTransaction(const std::string& id, int session) {
    RequestRecord& record = this->Add(id, session, RequestKind::kTransaction, {"g-a", "g-b"});
    record.values = {"", ""};
    record.rereads = {id};
    return record;
  }

  void Log(const std::string& id, const std::vector<std::string>& keys) {
    ServiceHistory& history = this->histories["orders"];
    LoggedWrite entry;
    entry.index = history.entries.size() + 1;
    entry.transaction = keys.size() > 1;
    for (const std::string& key : keys) {
      entry.puts.emplace_back(key, id);
    }
    history.entries.push_back(entry);
    ++history.executions[id];
  }

  // Checks that the checker counts exactly one violation, in the given counter.
  void ExpectOneViolation(uint64_t CheckResult::*counter) {
    const CheckResult result = Checker(this->records, this->histories).Run();
    INFO((result.examples.empty() ? "no example" : result.examples.front()));
    CHECK(result.*counter == 1);
    CHECK(result.violations() == 1);
    CHECK(result.examples.size() == 1);
  }

  std::vector<RequestRecord> records;
  std::map<std::string, ServiceHistory> histories;
};

TEST_CASE_METHOD(HistoryFixture,
                 "the checker reports no violation if the log agrees with all answers") {
  this->records[3].by_replica = true;
  this->records[5].cut = true;
  const CheckResult result = Checker(this->records, this->histories).Run();
  CHECK(result.violations() == 0);
  CHECK(result.acked_writes == 4);
  CHECK(result.reads_total == 1);
  CHECK(result.reads_by_replica == 1);
  CHECK(result.cut_in_flight == 1);
}

TEST_CASE_METHOD(HistoryFixture,
                 "the checker counts an acknowledged write as lost if the log lacks it") {
  this->AddWrite("w9", 2, "own-2");
  this->ExpectOneViolation(&CheckResult::lost_acked_writes);
}

TEST_CASE_METHOD(HistoryFixture,
                 "a write that may have run and is missing in the log is no violation") {
  this->AddWrite("w9", 2, "own-2").verdict = Verdict::kMayHaveRun;
  CHECK(Checker(this->records, this->histories).Run().violations() == 0);
}

TEST_CASE_METHOD(
    HistoryFixture,
    "the checker counts a write as doubled if two log entries contain its request id as a value") {
  this->Log("w2", {"own-0"});
  this->ExpectOneViolation(&CheckResult::doubled_writes);
}

TEST_CASE_METHOD(HistoryFixture,
                 "the checker counts a read older than the session's acknowledged write as stale") {
  this->AddRead("r9", 0, "own-0", "w1");
  this->ExpectOneViolation(&CheckResult::stale_reads);
}

TEST_CASE_METHOD(HistoryFixture,
                 "the checker counts a read as stale if it returns no value although its session "
                 "wrote the key") {
  this->AddRead("r9", 0, "own-0", "");
  this->ExpectOneViolation(&CheckResult::stale_reads);
}

TEST_CASE_METHOD(
    HistoryFixture,
    "without a log, the checker recognises a stale read by the order in which its session sent its "
    "writes") {
  this->histories.clear();
  this->AddRead("r9", 0, "own-0", "w1");
  this->ExpectOneViolation(&CheckResult::stale_reads);
}

TEST_CASE_METHOD(HistoryFixture,
                 "the checker does not count a read of an old value as stale if the read allows "
                 "old values or its session never wrote the key") {
  this->AddRead("r9", 0, "own-0", "w1").own_writes = false;
  this->AddRead("r10", 1, "own-0", "w1");  // Session 1 has not written "own-0".
  CHECK(Checker(this->records, this->histories).Run().violations() == 0);
}

TEST_CASE_METHOD(HistoryFixture,
                 "a read that returns another session's later write is no violation") {
  this->AddWrite("w9", 1, "own-0");
  this->Log("w9", {"own-0"});
  this->AddRead("r9", 0, "own-0", "w9");
  CHECK(Checker(this->records, this->histories).Run().violations() == 0);
}

TEST_CASE_METHOD(
    HistoryFixture,
    "the checker counts a mixed transaction if one log entry has writes of two transactions") {
  this->histories["orders"].entries.back().puts.emplace_back("g-a", "t0");
  this->ExpectOneViolation(&CheckResult::mixed_transactions);
}

TEST_CASE_METHOD(
    HistoryFixture,
    "the checker counts a transaction as mixed if the log has only half of its writes") {
  this->histories["orders"].entries.back().puts.pop_back();
  this->ExpectOneViolation(&CheckResult::mixed_transactions);
}

TEST_CASE_METHOD(
    HistoryFixture,
    "the checker counts a transaction as mixed if it reads half of another transaction's writes") {
  this->AddTransaction("t2", 0).values = {"t1", ""};
  this->Log("t2", {"g-a", "g-b"});
  this->ExpectOneViolation(&CheckResult::mixed_transactions);
}

TEST_CASE_METHOD(HistoryFixture,
                 "the checker counts a transaction as mixed if it does not read its own write") {
  this->AddTransaction("t2", 0).rereads = {"t1"};
  this->Log("t2", {"g-a", "g-b"});
  this->ExpectOneViolation(&CheckResult::mixed_transactions);
}

TEST_CASE_METHOD(HistoryFixture,
                 "the checker counts an answer with another request's id as a crossed answer") {
  this->records[0].echoed_id = "w3";
  this->ExpectOneViolation(&CheckResult::crossed_answers);
}

TEST_CASE_METHOD(
    HistoryFixture,
    "the checker counts another key's value in the answer to a read as a crossed answer") {
  this->AddRead("r9", 2, "own-0", "w3");
  this->ExpectOneViolation(&CheckResult::crossed_answers);
}

TEST_CASE_METHOD(
    HistoryFixture,
    "the checker counts another write's result in the answer to a write as a crossed answer") {
  this->records[0].values = {"w2"};
  this->ExpectOneViolation(&CheckResult::crossed_answers);
}

TEST_CASE_METHOD(HistoryFixture,
                 "a write with the verdict not_run is a violation if it is in the log") {
  this->Log("x1", {"own-1"});
  this->ExpectOneViolation(&CheckResult::not_run_that_ran);
}

TEST_CASE_METHOD(
    HistoryFixture,
    "a write that got the verdict not_run but ran on a replaced primary is a violation") {
  this->histories["orders"].executions["x1"] = 1;
  this->ExpectOneViolation(&CheckResult::not_run_that_ran);
}

TEST_CASE_METHOD(
    HistoryFixture,
    "a non-repeatable write that ran on two primaries is a violation; a repeatable one is not") {
  this->histories["orders"].executions["w3"] = 2;
  // w1 is repeatable, so its second run is a valid retry.
  this->histories["orders"].executions["w1"] = 2;
  this->ExpectOneViolation(&CheckResult::nonrepeatable_run_twice);
}

}  // namespace
}  // namespace poplarmoor
