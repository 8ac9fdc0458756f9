#pragma once

#include <string>

namespace poplarmoor {

class KeyRing;

/// Makes a token: a payload with a MAC under the current key.
/// @param keys Shared keys of the daemons.
/// @param purpose Kind of token, for example "session". The MAC covers the purpose, so that a
///     token of one kind is not accepted as a token of another kind.
/// @param payload Bytes that the token contains; they are authenticated but not encrypted.
/// @returns The token as base64url text.
std::string SealToken(const KeyRing& keys, const std::string& purpose, const std::string& payload);

/// Verifies the MAC of a token with the key whose id the token contains.
/// @param purpose Kind of token that is expected.
/// @returns The token's payload.
/// @throws BadTokenError when the token is malformed, not authentic or of another kind.
std::string OpenToken(const KeyRing& keys, const std::string& purpose, const std::string& token);

}  // namespace poplarmoor
