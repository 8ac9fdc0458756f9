#pragma once

#include <compare>
#include <cstdint>

namespace poplarmoor {

/// Position of an entry in a group's log. Term and index identify the log up to this entry.
struct LogPosition {
  uint64_t term = 0;   // Term of the primary that wrote the entry; 0 means no position.
  uint64_t index = 0;  // Index of the entry; entries are numbered from 1.

  // clang-tidy 14 wrongly reports a null pointer constant in a defaulted operator<=>.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

}  // namespace poplarmoor
