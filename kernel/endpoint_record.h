#pragma once

#include <cstdint>
#include <string>

#include "kernel/store_revision.h"

namespace poplarmoor {

/// One database server as service discovery describes it.
struct EndpointRecord {
  std::string id;               // Identity, which the endpoint confirms on each new connection.
  std::string service;          // Service whose group the endpoint belongs to.
  std::string address;          // Address of the endpoint, "IP:port".
  std::string failure_domain;   // Failure domain in which the endpoint runs.
  uint32_t slots = 1;           // Maximum number of concurrent statements.
  bool leaving = false;         // The endpoint stops soon and accepts no new work.
  bool claims_primary = false;  // Whether the endpoint reports itself as primary.
  StoreRevision revision;       // Revision of the last change to the endpoint's registry entry.
  int64_t incarnation_ms = 0;  // Start time of the endpoint, Unix time in ms; changes at a restart.
};

}  // namespace poplarmoor
