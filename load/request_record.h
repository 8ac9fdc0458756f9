#pragma once

#include <string>
#include <vector>

#include "kernel/name_table.h"
#include "kernel/rank.h"
#include "kernel/time.h"
#include "kernel/verdict.h"

namespace poplarmoor {

/// Kind of request that the load tool sends.
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

/// One request of the load tool with its answer. A write uses its own request id as the value, so
/// that a value read later identifies the write that it comes from.
struct RequestRecord {
  std::string request_id;  // Id of the request, unique over all runs.
  // Number of the session that sends the request. A session sends its requests one at a time, in
  // the order of the records.
  int session = 0;
  std::string service;
  Rank rank = Rank::kStandard;
  RequestKind kind = RequestKind::kRead;
  std::vector<std::string> keys;  // Keys read or written; several only for a transaction.
  bool repeatable = true;
  bool own_writes = true;  // True: a read must show the session's acknowledged writes.

  Verdict verdict = Verdict::kMayHaveRun;
  std::string reason;                // Reason for a verdict other than kRan.
  std::string echoed_id;             // Request id in the answer; empty without an answer.
  std::vector<std::string> values;   // Result for each key read, or the result of the write.
  std::vector<std::string> rereads;  // Results of a transaction's reads of its own writes.
  bool by_replica = false;
  bool cut = false;  // True if the connection was closed between the request and its answer.
  Duration sent{0};  // Time from the start of the run to the sending of the request.
  Duration answered{0};
};

}  // namespace poplarmoor
