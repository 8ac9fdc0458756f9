#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace poplarmoor {

/// Times within which a change in the store must take effect in a daemon.
struct ApplyBounds {
  std::chrono::milliseconds routes{3000};
  // Time bound for changes of endpoints. For example, an endpoint gets no new statements once this
  // time has passed since the store showed that the endpoint leaves.
  std::chrono::milliseconds endpoints{7000};
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
};

}  // namespace poplarmoor
