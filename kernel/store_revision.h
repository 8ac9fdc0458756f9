#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace poplarmoor {

/// Revision of the platform's store. The store counts its changes; when it is restored from an
/// older copy, it gives numbers out again and starts a new era. Numbers of different eras are
/// therefore not comparable, but revisions are: a revision of a later era is the newer one.
struct StoreRevision {
  uint64_t era = 0;     // How often the store was restored; 0 if the store does not tell.
  uint64_t number = 0;  // Count of the store's changes; 0: none.

  friend auto operator<=>(const StoreRevision& left, const StoreRevision& right) = default;

  /// @returns Whether this is the revision of a change.
  bool Exists() const { return this->number != 0; }

  /// @returns Text for logs: "number", or "era/number" when the store tells its era.
  std::string ToText() const {
    std::string text = std::to_string(this->number);
    return this->era == 0 ? text : std::to_string(this->era) + "/" + text;
  }
};

}  // namespace poplarmoor
