#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kernel/organisation/organisation.h"

namespace poplarmoor {

/// Fingerprint of an API key. Keys themselves are not kept, so that none can get into a log or a
/// message.
using KeyId = uint64_t;

/// @param key API key of a caller.
/// @returns The fingerprint of the key, never 0: 0 stands for "no key".
KeyId KeyIdOf(std::string_view key);

/// The organisations of one configuration and their API keys.
class OrganisationTable {
 public:
  /// Adds an organisation.
  /// @param organisation Name without blanks; rate and burst above 0.
  /// @param keys API keys of the organisation; may be empty.
  /// @throws std::invalid_argument when a field is malformed, or when the name or one of the keys
  ///     is in the table already. The message does not contain the key.
  void Add(Organisation organisation, const std::vector<std::string>& keys);

  /// @returns The organisation that holds the key, or null.
  const Organisation* FindByKeyId(KeyId key) const;

  /// @returns The organisation with this name, or null.
  const Organisation* FindByName(std::string_view name) const;

  const std::map<std::string, Organisation, std::less<>>& Organisations() const {
    return this->by_name;
  }

 private:
  std::map<std::string, Organisation, std::less<>> by_name;
  std::unordered_map<KeyId, std::string> name_by_key;
};

}  // namespace poplarmoor
