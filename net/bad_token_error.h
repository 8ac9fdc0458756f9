#pragma once

#include <stdexcept>

namespace poplarmoor {

/// A token that this system did not make, or made with a key that is no longer valid.
class BadTokenError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace poplarmoor
