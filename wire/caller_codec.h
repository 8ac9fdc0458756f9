#pragma once

#include <string>

#include "kernel/reason.h"
#include "kernel/verdict.h"
#include "wire/caller_answer.h"
#include "wire/caller_request.h"

namespace poplarmoor {

/// Longest time limit that a caller may set for one request.
inline constexpr Duration kMaxDeadline = 600'000ms;

/// Decodes the body of POST /v1/statements.
/// @param body JSON text.
/// @returns The request, with operation kRead or kWrite.
/// @throws CodecError when a field is missing or invalid; the error names the field.
CallerRequest DecodeStatement(const std::string& body);

/// Decodes the body of POST /v1/transactions.
/// @throws CodecError when a field is missing or invalid; the error names the field.
CallerRequest DecodeBegin(const std::string& body);

/// Decodes the body of POST /v1/transactions/statements.
/// @throws CodecError when a field is missing or invalid; the error names the field.
CallerRequest DecodeTransactionStatement(const std::string& body);

/// Decodes the body of POST /v1/transactions/commit or /rollback.
/// @param operation kCommit or kRollback.
/// @throws CodecError when a field is missing or invalid; the error names the field.
CallerRequest DecodeTransactionEnd(const std::string& body, Operation operation);

/// @returns The JSON body of an answer to a statement or transaction request.
std::string EncodeAnswer(const CallerAnswer& answer);

/// @param found Whether the request that the caller asks about has run.
/// @returns The JSON body of an answer to GET /v1/requests/SERVICE/ID.
std::string EncodeOutcome(bool found);

/// @param field Name of the invalid request field; may be empty.
/// @returns The JSON body of an error answer: {"error":{"reason":...,"message":...,"field":...}},
///     without "field" when `field` is empty.
std::string EncodeError(Reason reason, const std::string& field, const std::string& message);

/// @returns The HTTP status of an answer with this verdict and this reason.
unsigned HttpStatusOf(Verdict verdict, Reason reason);

}  // namespace poplarmoor
