#pragma once

#include <cstdint>
#include <string>

#include "kernel/statement_request.h"
#include "kernel/time.h"
#include "wire/endpoint_answer.h"

namespace poplarmoor {

/// Encodes the body of an `execute` request.
/// @param request Statement to execute. The body also contains the log position that the endpoint
///     must have reached and the staleness bound.
/// @param term Newest term that the sender knows of the endpoint's group.
/// @param transaction Whether the statement belongs to the transaction that is open on the
///     connection.
/// @returns JSON text.
std::string EncodeExecute(const StatementRequest& request, uint64_t term, bool transaction);

/// Encodes the body of a `begin`, `commit`, `rollback` or `outcome` request.
/// @param request_id Id of the request; in an `outcome` request, id of the request asked about.
/// @param term Term of the endpoint's group; the endpoint ignores the term in `rollback` and
///     `outcome` requests.
/// @returns JSON text.
std::string EncodeEndpointOperation(const std::string& request_id, uint64_t term);

/// Encodes the body of a `status` request.
/// @param wait_index Log index. The endpoint answers as soon as it has received the log entries up
///     to this index.
/// @param timeout Longest time that the endpoint waits for `wait_index` before it answers.
std::string EncodeStatusPoll(uint64_t wait_index, Duration timeout);

/// Encodes the body of a `fence` request.
std::string EncodeFence(uint64_t term, const std::string& proposer);

/// Encodes the body of a `promote` request.
/// @param start_index Index of the last log entry before the first entry of the new term.
std::string EncodePromote(uint64_t term, const std::string& proposer, uint64_t start_index);

/// Encodes the body of a `follow` request.
/// @param primary Name of the primary that the endpoint must follow.
/// @param address Address of that primary, "IP:port".
std::string EncodeFollow(uint64_t term, const std::string& primary, const std::string& address);

/// Decodes an endpoint's answer to any operation.
/// @param body JSON text.
/// @throws CodecError when a field is missing or invalid; the error names the field.
EndpointAnswer DecodeEndpointAnswer(const std::string& body);

}  // namespace poplarmoor
