#include "net/key_ring.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdexcept>
#include <utility>

namespace poplarmoor {

namespace {
constexpr size_t kMinKeySize = 16;  // Smallest allowed size of a secret key, in bytes.
}

KeyRing::KeyRing(std::string current, std::map<std::string, std::string> keys)
    : current_id(std::move(current)), keys(std::move(keys)) {
  for (const auto& [id, secret] : this->keys) {
    if (secret.size() < kMinKeySize) {
      throw std::invalid_argument("key '" + id + "' is shorter than 16 bytes");
    }
  }
  if (!this->keys.contains(this->current_id)) {
    throw std::invalid_argument("current key '" + this->current_id + "' is not in the key ring");
  }
}

std::string KeyRing::Mac(const std::string& key_id, const std::string& data) const {
  const auto found = this->keys.find(key_id);
  if (found == this->keys.end()) {
    return {};
  }
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), found->second.data(), static_cast<int>(found->second.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest, &size);
  return {reinterpret_cast<const char*>(digest), size};
}

bool KeyRing::Verify(const std::string& key_id,
                     const std::string& data,
                     const std::string& mac) const {
  const std::string expected = this->Mac(key_id, data);
  return !expected.empty() && expected.size() == mac.size() &&
         CRYPTO_memcmp(expected.data(), mac.data(), mac.size()) == 0;
}

}  // namespace poplarmoor
