#pragma once

#include <compare>
#include <cstdint>

namespace poplarmoor {

/// Position in a group's log. The pair identifies a prefix of the log.
struct LogPosition {
  uint64_t term = 0;   // Term of the primary that wrote the entry; 0 means no position.
  uint64_t index = 0;  // Index of the entry; entries are numbered from 1.

  // clang-tidy 14 takes a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

}  // namespace poplarmoor
