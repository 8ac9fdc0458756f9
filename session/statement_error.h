#pragma once

#include "kernel/name_table.h"

namespace poplarmoor {

/// Why a statement failed, as endpoints report it and callers are told.
enum class StatementError {
  kOverloaded,     // The statement did not run: the endpoint has no capacity.
  kAborted,        // The statement did not run or was rolled back; its transaction has no effect.
  kBehind,         // The statement did not run: the endpoint lacks the demanded log position.
  kReadOnly,       // The statement did not run: the endpoint is not the primary.
  kWrongEndpoint,  // The statement did not run: a different endpoint answers at the address.
  kTooManyConnections,  // The statement did not run: the endpoint's connection limit is reached.
  kUnknownStatement,    // The statement did not run: no prepared statement has the name.
  kFailed,              // The statement ran and failed.
  kTimeout,             // The statement exceeded the endpoint's time limit and may have run.
  kInDoubt,             // The answer was lost; the statement may have run.
  kUnknownDatabase,     // No route exists for the database name.
  kUnauthorised,        // The statement did not run: no organisation has the caller's API key.
  kTooLarge,            // The message exceeds the size limit.
  kMalformed,           // The message is malformed or not allowed in the session's state.
  kOther,               // The endpoint sent an error code that this program does not know.
};

inline constexpr NameTable<StatementError, 15> kStatementErrorNames{{{
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
    {StatementError::kUnauthorised, "unauthorised"},
    {StatementError::kTooLarge, "too_large"},
    {StatementError::kMalformed, "malformed"},
    {StatementError::kOther, "other"},
}}};

/// @param error Error reported by an endpoint.
/// @returns Whether the error guarantees that the statement has no effect: it has not run or was
///     rolled back.
constexpr bool HasNotRun(StatementError error) {
  switch (error) {
    case StatementError::kOverloaded:
    case StatementError::kBehind:
    case StatementError::kReadOnly:
    case StatementError::kUnknownStatement:
    case StatementError::kAborted:
    case StatementError::kWrongEndpoint:
    case StatementError::kTooManyConnections:
    case StatementError::kUnauthorised:
      return true;
    default:
      return false;
  }
}

}  // namespace poplarmoor
