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
  std::string database;  // For kOpen.
  std::string id;        // For kStatement: statement id that the caller chose.
  std::string text;      // For kStatement: text as the caller sent it.
  StatementVerb verb = StatementVerb::kUnknown;
  bool read_only = false;  // For kBegin and kPrepare.
  std::string name;        // Name of the value or prepared statement that the verb refers to.
  std::string argument;    // For kSetValue: value; for kPrepare: shape; for kExecute: arguments.
};

}  // namespace poplarmoor
