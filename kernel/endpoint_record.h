#pragma once

#include <cstdint>
#include <string>

namespace poplarmoor {

/// One database server as service discovery describes it.
struct EndpointRecord {
  std::string id;               // Identity that the endpoint confirms when a connection opens.
  std::string service;          // Group that the endpoint belongs to.
  std::string address;          // "IP:port".
  std::string failure_domain;   // Where the endpoint runs.
  uint32_t slots = 1;           // Statements that it runs at once.
  bool leaving = false;         // It ends soon and takes no new work.
  bool claims_primary = false;  // Role as the endpoint sees itself.
  uint64_t revision = 0;        // Of the registry entry's last change.
  int64_t incarnation_ms = 0;   // Unix time of its start; tells two lives under one id apart.
};

}  // namespace poplarmoor
