#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace poplarmoor {

/// Times within which a change in the store must take effect in a daemon.
struct ApplyBounds {
  std::chrono::milliseconds routes{3000};
  std::chrono::milliseconds endpoints{7000};  // A leaving endpoint gets no new work after this.
};

/// Settings that a session daemon reads from its platform at its start and on a reload.
struct ProcessSettings {
  std::string daemon;  // Name of this daemon.
  std::string failure_domain;
  std::string caller_address;          // "IP:port" of the session listener.
  std::string ready_address;           // "IP:port" of the readiness probe.
  std::string store_address;           // "IP:port" of the object store.
  std::string promotion_address;       // "IP:port" of the promotion call; empty: none.
  std::string peer_address;            // "IP:port" of the listener for other daemons.
  std::string metrics_address;         // "IP:port"; empty: none.
  std::chrono::seconds stop_grace{6};  // From the stop signal to the kill.
  ApplyBounds bounds;
  uint32_t max_descriptors = 1024;
};

}  // namespace poplarmoor
