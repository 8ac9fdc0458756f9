#pragma once

#include <cstdint>
#include <string>

#include "kernel/statement_request.h"
#include "kernel/time.h"
#include "wire/endpoint_answer.h"

namespace poplarmoor {

/// Encodes the body of execute.
/// @param request Statement; its required position and staleness bound are included.
/// @param term Term of the group as the sender knows it.
/// @param transaction Whether the statement belongs to the connection's transaction.
/// @returns JSON text.
std::string EncodeExecute(const StatementRequest& request, uint64_t term, bool transaction);

/// Encodes the body of begin, commit, rollback or outcome.
/// @param request_id Id of the request.
/// @param term Term of the group; ignored by rollback and outcome.
/// @returns JSON text.
std::string EncodeEndpointOperation(const std::string& request_id, uint64_t term);

/// Encodes the body of status.
/// @param wait_index Answer when this index is received.
/// @param timeout Or after this time.
std::string EncodeStatusPoll(uint64_t wait_index, Duration timeout);

/// Encodes the body of fence.
std::string EncodeFence(uint64_t term, const std::string& proposer);

/// Encodes the body of promote.
/// @param start_index Last index before the term's first entry.
std::string EncodePromote(uint64_t term, const std::string& proposer, uint64_t start_index);

/// Encodes the body of follow.
/// @param primary Name of the primary.
/// @param address Its address, "IP:port".
std::string EncodeFollow(uint64_t term, const std::string& primary, const std::string& address);

/// Decodes the answer to any operation.
/// @param body JSON text.
/// @throws CodecError that names the field.
EndpointAnswer DecodeEndpointAnswer(const std::string& body);

}  // namespace poplarmoor
