#pragma once

#include <string>

namespace poplarmoor {

class KeyRing;

/// Makes a token: a payload with a MAC under the current key.
/// @param keys Shared keys of the daemons.
/// @param purpose Kind of token; part of the authenticated bytes, so that a token of one kind is
///     not accepted as another kind.
/// @param payload Any bytes; they are not encrypted.
/// @returns The token as base64url text.
std::string SealToken(const KeyRing& keys, const std::string& purpose, const std::string& payload);

/// Verifies the MAC of a token with the key whose id the token contains.
/// @returns The token's payload.
/// @throws BadTokenError when the token is malformed or not authentic.
std::string OpenToken(const KeyRing& keys, const std::string& purpose, const std::string& token);

}  // namespace poplarmoor
