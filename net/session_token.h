#pragma once

#include <string>

#include "kernel/session_positions.h"

namespace poplarmoor {

class KeyRing;

/// Encodes a session state as a token with a MAC under the current key.
/// @param keys Shared keys of the daemons.
/// @param positions Session state.
/// @returns The token: base64url of key id, HMAC-SHA256 and payload.
std::string EncodeSessionToken(const KeyRing& keys, const SessionPositions& positions);

/// Verifies a session token with the key whose id the token contains, and decodes it.
/// @param keys Shared keys of the daemons.
/// @param token Token; an empty token stands for a new session.
/// @returns The session state.
/// @throws BadTokenError when the token is malformed or not authentic.
SessionPositions DecodeSessionToken(const KeyRing& keys, const std::string& token);

}  // namespace poplarmoor
