#pragma once

#include <cstdint>

namespace poplarmoor {

/// Start of a term in a group's log.
struct TermStart {
  uint64_t term = 0;
  uint64_t index = 0;  // Index of the last log entry before the term; 0: none.

  friend bool operator==(const TermStart&, const TermStart&) = default;
};

}  // namespace poplarmoor
