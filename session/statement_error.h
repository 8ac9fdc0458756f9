#pragma once

#include "kernel/name_table.h"

namespace poplarmoor {

/// Why a statement failed, towards callers and from endpoints.
enum class StatementError {
  kOverloaded,          // Not run: no capacity.
  kAborted,             // Not run, or rolled back: nothing of the transaction is kept.
  kBehind,              // Not run: the endpoint lacks the demanded position.
  kReadOnly,            // Not run: the endpoint is not the primary.
  kWrongEndpoint,       // Not run: another endpoint lives at the address.
  kTooManyConnections,  // Not run: the endpoint's connection limit is reached.
  kUnknownStatement,    // Not run: the name is not prepared.
  kFailed,              // Ran and failed.
  kTimeout,             // Ran into the endpoint's time limit.
  kInDoubt,             // May have run: its answer was lost.
  kUnknownDatabase,     // No route has the name.
  kTooLarge,            // The message exceeds the limit.
  kMalformed,           // The message cannot be read, or does not fit the session's state.
  kOther,               // A code that this program does not know.
};

inline constexpr NameTable<StatementError, 14> kStatementErrorNames{{{
    {StatementError::kOverloaded, "overloaded"},
    {StatementError::kAborted, "aborted"},
    {StatementError::kBehind, "behind"},
    {StatementError::kReadOnly, "read_only"},
    {StatementError::kWrongEndpoint, "wrong_endpoint"},
    {StatementError::kTooManyConnections, "too_many_connections"},
    {StatementError::kUnknownStatement, "unknown_statement"},
    {StatementError::kFailed, "failed"},
    {StatementError::kTimeout, "timeout"},
    {StatementError::kInDoubt, "in_doubt"},
    {StatementError::kUnknownDatabase, "unknown_database"},
    {StatementError::kTooLarge, "too_large"},
    {StatementError::kMalformed, "malformed"},
    {StatementError::kOther, "other"},
}}};

/// @param error Any error of an endpoint.
/// @returns Whether it promises that the statement has not run.
constexpr bool HasNotRun(StatementError error) {
  switch (error) {
    case StatementError::kOverloaded:
    case StatementError::kBehind:
    case StatementError::kReadOnly:
    case StatementError::kUnknownStatement:
    case StatementError::kAborted:
    case StatementError::kWrongEndpoint:
    case StatementError::kTooManyConnections:
      return true;
    default:
      return false;
  }
}

}  // namespace poplarmoor
