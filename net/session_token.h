#pragma once

#include <string>

#include "kernel/session_positions.h"

namespace poplarmoor {

class KeyRing;

/// Authenticates a session state with the current key.
/// @param keys Shared keys of the daemons.
/// @param positions Session state.
/// @returns The token: base64url of key id, HMAC-SHA256 and payload.
std::string EncodeSessionToken(const KeyRing& keys, const SessionPositions& positions);

/// Verifies a session token with the key that it names.
/// @param keys Shared keys of the daemons.
/// @param token Token; an empty one is a new session.
/// @returns The session state.
/// @throws BadTokenError when the token is malformed or not authentic.
SessionPositions DecodeSessionToken(const KeyRing& keys, const std::string& token);

}  // namespace poplarmoor
