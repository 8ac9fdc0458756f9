#pragma once

#include <string>

#include "kernel/name_table.h"
#include "kernel/organisation/organisation_table.h"

namespace poplarmoor {

/// Operation that a statement of a caller requests.
enum class StatementVerb {
  kBegin,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepare,
  kExecute,
  kDeallocate,
  kUnknown,
};

inline constexpr NameTable<StatementVerb, 10> kStatementVerbNames{{{
    {StatementVerb::kBegin, "begin"},
    {StatementVerb::kCommit, "commit"},
    {StatementVerb::kRollback, "rollback"},
    {StatementVerb::kRead, "read"},
    {StatementVerb::kWrite, "write"},
    {StatementVerb::kSetValue, "set_value"},
    {StatementVerb::kPrepare, "prepare"},
    {StatementVerb::kExecute, "execute"},
    {StatementVerb::kDeallocate, "deallocate"},
    {StatementVerb::kUnknown, "unknown"},
}}};

/// One message of a caller, decoded.
struct CallerMessage {
  enum class Kind { kOpen, kStatement, kClose, kMalformed };

  Kind kind = Kind::kMalformed;
  std::string database;  // Name of the database that the caller wants to use; set for kOpen.
  KeyId key = 0;         // Fingerprint of the caller's API key; set for kOpen, 0 if there is none.
  std::string id;        // Statement id that the caller chose; set for kStatement.
  std::string text;      // Statement text as the caller sent it; set for kStatement.
  StatementVerb verb = StatementVerb::kUnknown;
  // Whether the transaction (kBegin) or prepared statement (kPrepare) only reads.
  bool read_only = false;
  // Name of the session value (kSetValue) or of the prepared statement (kPrepare, kExecute and
  // kDeallocate).
  std::string name;
  // Value to set (kSetValue), text that identifies the statement to prepare (kPrepare), or
  // arguments of the prepared statement (kExecute).
  std::string argument;
};

}  // namespace poplarmoor
