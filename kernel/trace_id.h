#pragma once

#include <cstdint>
#include <string>

namespace poplarmoor {

/// @param value Number to encode.
/// @returns 16 lower-case hex digits.
std::string FormatHex64(uint64_t value);

/// Parses the ids of a W3C traceparent header ("00-TRACE-SPAN-FLAGS").
/// @param header Value of the header.
/// @param[out] trace_id 32 hex digits; unchanged when the header is malformed.
/// @param[out] span_id 16 hex digits; unchanged when the header is malformed.
/// @returns Whether the header was well formed.
bool ParseTraceparent(const std::string& header, std::string* trace_id, std::string* span_id);

}  // namespace poplarmoor
