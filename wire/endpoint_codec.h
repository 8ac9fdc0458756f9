#pragma once

#include <cstdint>
#include <string>

#include "kernel/statement_request.h"
#include "kernel/time.h"
#include "wire/endpoint_answer.h"

namespace poplarmoor {

/// Encodes the body of an execute request.
/// @param request Statement to execute; its required position and staleness bound are included.
/// @param term Newest term of the group that the sender knows.
/// @param transaction Whether the statement belongs to the connection's transaction.
/// @returns JSON text.
std::string EncodeExecute(const StatementRequest& request, uint64_t term, bool transaction);

/// Encodes the body of a begin, commit, rollback or outcome request.
/// @param request_id Id of the request.
/// @param term Term of the group; the endpoint ignores it in rollback and outcome requests.
/// @returns JSON text.
std::string EncodeEndpointOperation(const std::string& request_id, uint64_t term);

/// Encodes the body of a status request.
/// @param wait_index The endpoint answers once it has received the log up to this index.
/// @param timeout The endpoint answers after this time at the latest.
std::string EncodeStatusPoll(uint64_t wait_index, Duration timeout);

/// Encodes the body of a fence request.
std::string EncodeFence(uint64_t term, const std::string& proposer);

/// Encodes the body of a promote request.
/// @param start_index Index of the last log entry before the first entry of the term.
std::string EncodePromote(uint64_t term, const std::string& proposer, uint64_t start_index);

/// Encodes the body of a follow request.
/// @param primary Name of the primary.
/// @param address Address of the primary, "IP:port".
std::string EncodeFollow(uint64_t term, const std::string& primary, const std::string& address);

/// Decodes an endpoint's answer to any operation.
/// @param body JSON text.
/// @throws CodecError when a field is missing or invalid; the error names the field.
EndpointAnswer DecodeEndpointAnswer(const std::string& body);

}  // namespace poplarmoor
