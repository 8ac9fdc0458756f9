#pragma once

#include <string>

namespace poplarmoor {

/// An organisation whose callers use the fleet.
struct Organisation {
  std::string name;
  double rate = 0;   // Limit of its operations, operations/s over all daemons.
  double burst = 0;  // Operations that it may run at once beyond the rate.
};

}  // namespace poplarmoor
