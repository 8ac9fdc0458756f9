#include "net/session_token.h"

#include <stdexcept>

#include "net/bad_token_error.h"
#include "net/sealed_token.h"

namespace poplarmoor {

namespace {
// The constructor cannot throw: the text is so short that std::string allocates no memory for it.
const std::string kPurpose = "session";  // NOLINT: constructor cannot throw, see above.
}  // namespace

std::string EncodeSessionToken(const KeyRing& keys, const SessionPositions& positions) {
  return SealToken(keys, kPurpose, positions.Encode());
}

SessionPositions DecodeSessionToken(const KeyRing& keys, const std::string& token) {
  if (token.empty()) {
    return {};
  }
  try {
    return SessionPositions::Decode(OpenToken(keys, kPurpose, token));
  } catch (const std::invalid_argument& error) {
    throw BadTokenError(std::string("session token: ") + error.what());
  }
}

}  // namespace poplarmoor
