#pragma once

namespace poplarmoor {

/// Settings of the platform stand-in.
struct PlatformOptions {
  int reads_per_s = 2000;  // Maximum rate of reads and watches; further ones get status 429.
  int writes_per_s = 400;  // Maximum rate of updates; further ones get status 429.
  int vm_list_lag_ms = 0;  // GET /v1/vms returns the list as it was this time ago.
};

}  // namespace poplarmoor
