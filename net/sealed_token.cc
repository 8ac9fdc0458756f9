#include "net/sealed_token.h"

#include <optional>
#include <stdexcept>

#include "net/bad_token_error.h"
#include "net/base64url.h"
#include "net/key_ring.h"

namespace poplarmoor {

namespace {
constexpr size_t kMacSize = 32;  // Size of an HMAC-SHA256 digest in bytes.
}

// Layout of a token before base64url encoding: length of the key id (1 byte), key id, MAC, payload.

std::string SealToken(const KeyRing& keys, const std::string& purpose, const std::string& payload) {
  const std::string& key_id = keys.current();
  if (key_id.size() > 255) {
    throw std::invalid_argument("key id '" + key_id + "' is longer than 255 bytes");
  }
  std::string bytes(1, static_cast<char>(key_id.size()));
  bytes += key_id;
  bytes += keys.Mac(key_id, purpose + '\0' + payload);
  bytes += payload;
  return EncodeBase64Url(bytes);
}

std::string OpenToken(const KeyRing& keys, const std::string& purpose, const std::string& token) {
  const std::optional<std::string> bytes = DecodeBase64Url(token);
  if (!bytes || bytes->empty()) {
    throw BadTokenError(purpose + " token is malformed");
  }
  const size_t key_size = static_cast<unsigned char>(bytes->front());
  if (bytes->size() < 1 + key_size + kMacSize) {
    throw BadTokenError(purpose + " token is too short");
  }
  const std::string key_id = bytes->substr(1, key_size);
  const std::string mac = bytes->substr(1 + key_size, kMacSize);
  std::string payload = bytes->substr(1 + key_size + kMacSize);
  if (!keys.Verify(key_id, purpose + '\0' + payload, mac)) {
    throw BadTokenError(purpose + " token is not authentic");
  }
  return payload;
}

}  // namespace poplarmoor
