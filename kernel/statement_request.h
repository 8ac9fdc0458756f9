#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "kernel/log_position.h"
#include "kernel/name_table.h"
#include "kernel/rank.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Operation of a request.
enum class Operation {
  kRead,
  kWrite,
  kBegin,
  kTransactionRead,
  kTransactionWrite,
  kCommit,
  kRollback,
  kOutcome,  // Asks whether an earlier request, identified by its id, ran.
};

inline constexpr NameTable<Operation, 8> kOperationNames{{{
    {Operation::kRead, "read"},
    {Operation::kWrite, "write"},
    {Operation::kBegin, "begin"},
    {Operation::kTransactionRead, "transaction_read"},
    {Operation::kTransactionWrite, "transaction_write"},
    {Operation::kCommit, "commit"},
    {Operation::kRollback, "rollback"},
    {Operation::kOutcome, "outcome"},
}}};

/// One request, as the entry daemon sends it to the owner of an endpoint.
struct StatementRequest {
  std::string request_id;
  std::string trace_id;  // W3C trace id, 32 hex digits.
  std::string span_id;   // Id of the parent span, 16 hex digits.
  std::string service;
  std::string site;
  Rank rank = Rank::kStandard;
  Operation operation = Operation::kRead;
  std::string statement;   // Serialized JSON, opaque to the proxy.
  bool repeatable = true;  // Whether a write that may have run may be sent again.
  // Log position of the session's newest write; a position with term 0 means no write is known.
  LogPosition required;
  std::optional<Duration> max_staleness;  // Maximum staleness of a replica's data; none: no limit.
  TimePoint deadline;
  std::string transaction;  // Id of the transaction at its owner; empty outside transactions.
  uint64_t sequence = 0;    // Number of the statement in its transaction, from 1; 0: it has none.
};

/// @param operation Any operation.
/// @returns Whether only the primary can serve the operation.
constexpr bool NeedsPrimary(Operation operation) {
  return operation != Operation::kRead;
}

}  // namespace poplarmoor
