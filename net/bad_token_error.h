#pragma once

#include <stdexcept>

namespace poplarmoor {

/// Thrown for a token that is malformed, or whose MAC does not match under any valid key. In the
/// second case, another system made the token, the token was changed, or its key is no longer
/// valid.
class BadTokenError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace poplarmoor
