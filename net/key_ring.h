#pragma once

#include <map>
#include <string>

namespace poplarmoor {

/// Shared secret keys by key id. Several keys may be valid at once, so that keys can be rotated
/// without stopping the daemons; new MACs use the current key.
class KeyRing {
 public:
  /// @param current Id of the key for new MACs.
  /// @param keys Secrets by key id, at least 16 bytes each.
  /// @throws std::invalid_argument when a key is too short or the current key is missing.
  KeyRing(std::string current, std::map<std::string, std::string> keys);

  /// @returns Id of the key for new MACs.
  const std::string& current() const { return this->current_id; }

  /// @param key_id Id of a key.
  /// @param data Bytes to authenticate.
  /// @returns HMAC-SHA256 of the data, 32 bytes; empty when the key id is unknown.
  std::string Mac(const std::string& key_id, const std::string& data) const;

  /// Verifies a MAC with a comparison in constant time.
  /// @returns Whether `mac` is the MAC of the data under the key `key_id`.
  bool Verify(const std::string& key_id, const std::string& data, const std::string& mac) const;

 private:
  std::string current_id;
  std::map<std::string, std::string> keys;
};

}  // namespace poplarmoor
