#pragma once

#include <string>
#include <vector>

#include "kernel/name_table.h"
#include "kernel/rank.h"
#include "kernel/time.h"
#include "kernel/verdict.h"

namespace poplarmoor {

/// Kind of a request of the load tool.
enum class RequestKind {
  kWrite,
  kRead,
  kTransaction,  // Reads its keys, writes its request id to all of them, and commits.
};

inline constexpr NameTable<RequestKind, 3> kRequestKindNames{{{
    {RequestKind::kWrite, "write"},
    {RequestKind::kRead, "read"},
    {RequestKind::kTransaction, "transaction"},
}}};

/// What the load tool sent and was told. A write writes its own request id as the value, so that a
/// value read later names the write that it comes from.
struct RequestRecord {
  std::string request_id;  // Unique over all runs.
  int session = 0;         // A session has one request at a time, in order of the records.
  std::string service;
  Rank rank = Rank::kStandard;
  RequestKind kind = RequestKind::kRead;
  std::vector<std::string> keys;  // Keys read or written; one unless it is a transaction.
  bool repeatable = true;
  bool own_writes = true;  // A read must show the session's acknowledged writes.

  Verdict verdict = Verdict::kMayHaveRun;
  std::string reason;                // Reason of a verdict other than kRan.
  std::string echoed_id;             // Request id in the answer; empty when there was no answer.
  std::vector<std::string> values;   // Result for each key that was read, or of the write.
  std::vector<std::string> rereads;  // A transaction's reads of its own writes.
  bool by_replica = false;
  bool cut = false;  // The connection was closed while the request was in flight.
  Duration sent{0};  // Since the start of the run.
  Duration answered{0};
};

}  // namespace poplarmoor
