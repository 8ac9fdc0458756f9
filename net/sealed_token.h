#pragma once

#include <string>

namespace poplarmoor {

class KeyRing;

/// Authenticates a payload with the current key.
/// @param keys Shared keys of the daemons.
/// @param purpose Kind of token; part of the authenticated bytes, so that one kind cannot pass for
///     another.
/// @param payload Any bytes; they are not encrypted.
/// @returns base64url text.
std::string SealToken(const KeyRing& keys, const std::string& purpose, const std::string& payload);

/// Verifies a token with the key that it names.
/// @returns The payload.
/// @throws BadTokenError when the token is malformed or not authentic.
std::string OpenToken(const KeyRing& keys, const std::string& purpose, const std::string& token);

}  // namespace poplarmoor
