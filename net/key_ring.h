#pragma once

#include <map>
#include <string>

namespace poplarmoor {

/// Secret keys that all daemons share, by key id. Several keys can be valid at the same time, so
/// that keys can be rotated without stopping the daemons. New MACs use the current key.
class KeyRing {
 public:
  /// @param current Id of the key that new MACs use.
  /// @param keys Secret keys by key id; each key has at least 16 bytes.
  /// @throws std::invalid_argument when a key is too short or `keys` has no key with id `current`.
  KeyRing(std::string current, std::map<std::string, std::string> keys);

  /// @returns Id of the key that new MACs use.
  const std::string& current() const { return this->current_id; }

  /// @param key_id Id of the key to use.
  /// @param data Bytes to authenticate.
  /// @returns HMAC-SHA256 of `data` under that key, 32 bytes; empty when the key id is unknown.
  std::string Mac(const std::string& key_id, const std::string& data) const;

  /// Verifies a MAC with a comparison in constant time.
  /// @returns Whether `mac` is the MAC of `data` under the key `key_id`; false when the key id is
  ///     unknown.
  bool Verify(const std::string& key_id, const std::string& data, const std::string& mac) const;

 private:
  std::string current_id;
  std::map<std::string, std::string> keys;
};

}  // namespace poplarmoor
