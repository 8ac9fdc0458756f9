#pragma once

#include <string>

#include "kernel/statement_result.h"
#include "kernel/time.h"
#include "wire/forward_request.h"

namespace poplarmoor {

/// Packs the body of a `forward` message.
/// @param forward Request to pack.
/// @param now Current time of the sender. The message contains the time that remains until the
///     deadline instead of the deadline, because the clocks of two daemons are not comparable.
/// @returns One msgpack map.
std::string PackForward(const ForwardRequest& forward, TimePoint now);

/// Unpacks the body of a `forward` message.
/// @param body One msgpack map.
/// @param now Current time of the receiver.
/// @throws CodecError when a field is missing or invalid; the error names the field.
ForwardRequest UnpackForward(const std::string& body, TimePoint now);

/// Packs the body of the answer to a `forward` message.
/// @returns One msgpack map.
std::string PackResult(const StatementResult& result);

/// Unpacks the body of the answer to a `forward` message.
/// @throws CodecError when a field is missing or invalid; the error names the field.
StatementResult UnpackResult(const std::string& body);

}  // namespace poplarmoor
