#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace poplarmoor {

/// Times within which a change in the store must take effect in a daemon.
struct ApplyBounds {
  std::chrono::milliseconds routes{3000};
  // Time bound for changes of endpoints. For example, an endpoint gets no new statements once this
  // time has passed since the store showed that the endpoint leaves.
  std::chrono::milliseconds endpoints{7000};
};

/// Tolerance of the limits of organisations: in every window, an organisation may run
/// (rate * window + burst) * (1 + excess_share) + slack operations.
struct LimitTolerance {
  std::chrono::seconds window{5};
  double excess_share = 0.1;
  double slack = 20;  // Operations.
};

/// Settings that a session daemon reads from its platform at its start and on a reload.
struct ProcessSettings {
  std::string daemon;  // Name of this daemon.
  std::string failure_domain;
  std::string caller_address;          // "IP:port" of the listener for callers.
  std::string ready_address;           // "IP:port" of the listener for readiness probes.
  std::string store_address;           // "IP:port" of the object store.
  std::string promotion_address;       // "IP:port" of the platform's promotion API; empty: none.
  std::string peer_address;            // "IP:port" of the listener for other daemons.
  std::string metrics_address;         // "IP:port" of the metrics listener; empty: none.
  std::chrono::seconds stop_grace{6};  // Time from the stop signal until the process is killed.
  ApplyBounds bounds;
  uint32_t max_descriptors = 1024;  // Largest number of open file descriptors.
  size_t memory = 160 << 20;        // Memory of the VM, in bytes; the default is the smallest one.
  // Time after which no statement may run with an API key that the store has withdrawn, also in a
  // daemon that is cut off; empty: there is no such bound.
  std::optional<std::chrono::milliseconds> revocation_bound;
  LimitTolerance limit_tolerance;
  // The whole fleet starts for the first time, so this daemon may issue tokens without announcing
  // itself.
  bool first_fleet_start = false;
  double capacity = 0;   // Processor share of this daemon, in cores; 0: unknown.
  double link_mbps = 0;  // Bandwidth of the VM's link, Mbit/s; 0: unknown.
  std::map<std::string, std::string> regions;  // Region of each failure domain.
};

}  // namespace poplarmoor
