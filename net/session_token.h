#pragma once

#include <string>

#include "kernel/session_positions.h"

namespace poplarmoor {

class KeyRing;

/// Encodes the state of a session as a token with a MAC under the current key.
/// @param keys Shared keys of the daemons.
/// @param positions State of the session.
/// @returns The token: base64url text of key id, HMAC-SHA256 and encoded state.
std::string EncodeSessionToken(const KeyRing& keys, const SessionPositions& positions);

/// Verifies a session token with the key whose id the token contains, and decodes it.
/// @param keys Shared keys of the daemons.
/// @param token Token; an empty token stands for a new session.
/// @returns The state of the session; for an empty token, the state of a new session.
/// @throws BadTokenError when the token is malformed or not authentic.
SessionPositions DecodeSessionToken(const KeyRing& keys, const std::string& token);

}  // namespace poplarmoor
