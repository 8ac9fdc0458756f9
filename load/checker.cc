#include "load/checker.h"

#include <algorithm>
#include <set>

#include "load/request_record.h"
#include "load/service_history.h"

namespace poplarmoor {

namespace {
constexpr size_t kMaxExamples = 20;
}

Checker::Checker(const std::vector<RequestRecord>& records,
                 const std::map<std::string, ServiceHistory>& histories)
    : records(records), histories(histories) {}

CheckResult Checker::Run() {
  this->result = {};
  for (const RequestRecord& record : this->records) {
    if (record.kind != RequestKind::kRead) {
      this->writes_by_id[record.request_id] = &record;
    }
  }
  this->IndexLogs();
  this->CheckLoggedTransactions();
  for (const RequestRecord& record : this->records) {
    this->result.cut_in_flight += record.cut ? 1 : 0;
    this->CheckAnswer(record);
    if (record.verdict == Verdict::kNotRun) {
      this->CheckNotRun(record);
    }
    if (record.kind != RequestKind::kRead) {
      this->CheckWrite(record);
    } else if (record.verdict == Verdict::kRan) {
      this->CheckRead(record);
    }
    if (record.kind == RequestKind::kTransaction) {
      this->CheckTransactionReads(record);
    }
  }
  return this->result;
}

void Checker::Count(uint64_t CheckResult::*counter,
                    const std::string& name,
                    const RequestRecord& record) {
  ++(this->result.*counter);
  if (this->result.examples.size() < kMaxExamples) {
    this->result.examples.push_back(
        name + ": " + std::string(kRequestKindNames.NameOf(record.kind)) + " " + record.request_id +
        " of session " + std::to_string(record.session) + ", service " + record.service + ", key " +
        (record.keys.empty() ? "" : record.keys.front()) + ", verdict " +
        std::string(kVerdictNames.NameOf(record.verdict)) + ", value " +
        (record.values.empty() ? "" : record.values.front()));
  }
}

void Checker::IndexLogs() {
  this->occurrences.clear();
  for (const auto& [service, history] : this->histories) {
    for (const LoggedWrite& entry : history.entries) {
      std::map<std::string, size_t> puts;
      for (const auto& [key, value] : entry.puts) {
        ++puts[value];
      }
      for (const auto& [value, count] : puts) {
        this->occurrences[{service, value}].push_back({entry.index, count});
      }
    }
  }
}

void Checker::CheckLoggedTransactions() {
  for (const auto& [service, history] : this->histories) {
    for (const LoggedWrite& entry : history.entries) {
      std::set<std::string> values;
      for (const auto& [key, value] : entry.puts) {
        values.insert(value);
      }
      if (values.size() > 1) {
        RequestRecord record;
        record.kind = RequestKind::kTransaction;
        record.service = service;
        record.request_id = *values.begin();
        this->Count(&CheckResult::mixed_transactions,
                    "log entry contains writes of several requests", record);
      }
    }
  }
}

int Checker::CountExecutions(const RequestRecord& record) const {
  const auto history = this->histories.find(record.service);
  if (history == this->histories.end()) {
    return 0;
  }
  const auto found = history->second.executions.find(record.request_id);
  return found == history->second.executions.end() ? 0 : found->second;
}

void Checker::CheckWrite(const RequestRecord& record) {
  const bool acked = record.verdict == Verdict::kRan;
  this->result.acked_writes += acked ? 1 : 0;
  if (acked) {
    for (const std::string& key : record.keys) {
      this->last_acked[{record.session, {record.service, key}}] = record.request_id;
    }
  }
  if (!this->histories.contains(record.service)) {
    return;
  }
  const auto found = this->occurrences.find({record.service, record.request_id});
  const size_t logged = found == this->occurrences.end() ? 0 : found->second.size();
  if (acked && logged == 0) {
    this->Count(&CheckResult::lost_acked_writes, "acknowledged write is missing in the log",
                record);
  }
  if (logged > 1) {
    this->Count(&CheckResult::doubled_writes, "write is in more than one log entry", record);
  }
  if (logged > 0 &&
      std::any_of(found->second.begin(), found->second.end(), [&](const Occurrence& occurrence) {
        return occurrence.puts != record.keys.size();
      })) {
    this->Count(&CheckResult::mixed_transactions, "log entry is not exactly one whole transaction",
                record);
  }
  if (!record.repeatable && (logged > 1 || this->CountExecutions(record) > 1)) {
    this->Count(&CheckResult::nonrepeatable_run_twice, "non-repeatable request ran more than once",
                record);
  }
}

void Checker::CheckNotRun(const RequestRecord& record) {
  if (this->CountExecutions(record) > 0 ||
      this->occurrences.contains({record.service, record.request_id})) {
    this->Count(&CheckResult::not_run_that_ran, "request with verdict not_run has run", record);
  }
}

// Returns true if the value was written in this run, but to another key or another service. A
// correct read of `key` cannot return such a value.
bool Checker::IsForeignValue(const RequestRecord& record,
                             const std::string& key,
                             const std::string& value) const {
  const auto writer = this->writes_by_id.find(value);
  if (writer == this->writes_by_id.end()) {
    return false;  // Not foreign: the value is empty or was written before this run.
  }
  const RequestRecord& write = *writer->second;
  return write.service != record.service ||
         std::find(write.keys.begin(), write.keys.end(), key) == write.keys.end();
}

void Checker::CheckAnswer(const RequestRecord& record) {
  bool crossed = !record.echoed_id.empty() && record.echoed_id != record.request_id;
  if (record.kind == RequestKind::kWrite) {
    crossed = crossed || (!record.values.empty() && record.values.front() != record.request_id);
  } else {
    for (size_t i = 0; i < record.values.size() && i < record.keys.size(); ++i) {
      crossed = crossed || this->IsForeignValue(record, record.keys[i], record.values[i]);
    }
  }
  if (crossed) {
    this->Count(&CheckResult::crossed_answers, "answer belongs to another request", record);
  }
}

void Checker::CheckRead(const RequestRecord& record) {
  ++this->result.reads_total;
  this->result.reads_by_replica += record.by_replica ? 1 : 0;
  if (!record.own_writes || record.keys.empty()) {
    return;
  }
  const auto written = this->last_acked.find({record.session, {record.service, record.keys[0]}});
  if (written == this->last_acked.end()) {
    return;
  }
  const std::string value = record.values.empty() ? "" : record.values.front();
  if (value == written->second) {
    return;
  }
  const auto expected = this->occurrences.find({record.service, written->second});
  const auto seen = this->occurrences.find({record.service, value});
  if (value.empty() || !this->writes_by_id.contains(value)) {
    this->Count(&CheckResult::stale_reads, "read does not show the session's write", record);
  } else if (seen == this->occurrences.end()) {
    // The log lacks the value, or there is no log. If the session wrote the value itself, the order
    // in which it sent its writes shows whether the value is older than its acknowledged write.
    // Otherwise it is not known which of the two is older.
    const RequestRecord* writer = this->writes_by_id.at(value);
    if (writer->session == record.session && writer < this->writes_by_id.at(written->second)) {
      this->Count(&CheckResult::stale_reads, "read returns a value older than the session's write",
                  record);
    } else {
      ++this->result.reads_of_lost_writes;
    }
  } else if (expected != this->occurrences.end() &&
             seen->second.back().index < expected->second.front().index) {
    this->Count(&CheckResult::stale_reads, "read returns a value older than the session's write",
                record);
  }
}

void Checker::CheckTransactionReads(const RequestRecord& record) {
  // Every transaction writes one value to all keys of its key set. A transaction that reads the
  // keys of a set must therefore get the same value for each key.
  const bool differ =
      std::any_of(record.values.begin(), record.values.end(),
                  [&](const std::string& value) { return value != record.values.front(); });
  const bool foreign =
      std::any_of(record.rereads.begin(), record.rereads.end(),
                  [&](const std::string& value) { return value != record.request_id; });
  if (differ || foreign) {
    this->Count(&CheckResult::mixed_transactions,
                "transaction read writes of different transactions", record);
  }
}

}  // namespace poplarmoor
