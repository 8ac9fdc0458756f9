#pragma once

namespace poplarmoor {

/// Settings of the platform stand-in.
struct PlatformOptions {
  int reads_per_s = 2000;  // Maximum rate of reads and watches; those above it get status 429.
  int writes_per_s = 400;  // Maximum rate of updates; those above it get status 429.
  int vm_list_lag_ms = 0;  // Age of the VM list that GET /v1/vms returns; 0: the current list.
};

}  // namespace poplarmoor
