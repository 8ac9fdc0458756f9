#pragma once

#include <cstdint>

namespace poplarmoor {

/// Answer of a daemon that was asked to issue tokens of an organisation.
struct TokenGrant {
  uint32_t granted = 0;
  bool is_issuer = false;  // Whether the daemon is, by its own list, an issuer that may issue.
};

}  // namespace poplarmoor
