#pragma once

#include <string>

#include "kernel/name_table.h"

namespace poplarmoor {

/// What a statement asks for.
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
  std::string database;  // Of kOpen.
  std::string id;        // Of kStatement: the caller's id of the statement.
  std::string text;      // Of kStatement: as the caller sent it.
  StatementVerb verb = StatementVerb::kUnknown;
  bool read_only = false;  // Of kBegin and kPrepare.
  std::string name;        // Value or statement that the verb names.
  std::string argument;    // Value of kSetValue, shape of kPrepare, arguments of kExecute.
};

}  // namespace poplarmoor
