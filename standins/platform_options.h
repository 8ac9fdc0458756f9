#pragma once

namespace poplarmoor {

/// Settings of the platform stand-in.
struct PlatformOptions {
  int reads_per_s = 2000;  // Reads above this rate, including watches, get status 429.
  int writes_per_s = 400;  // Conditional updates above this rate get status 429.
  int vm_list_lag_ms = 0;  // Age of the list that GET /v1/vms returns.
};

}  // namespace poplarmoor
