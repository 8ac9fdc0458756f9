#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "kernel/log_settings.h"

namespace poplarmoor {

/// Listeners of a daemon, "IP:port" each.
struct ListenSettings {
  std::string callers;    // Callers' API.
  std::string operators;  // Operators' API and metrics.
  std::string peers;      // Peer protocol.
};

/// First contact to another daemon.
struct SeedPeer {
  std::string daemon;
  std::string address;  // Of its peer listener, "IP:port".
  std::string failure_domain;
};

/// Limits of a daemon's listeners.
struct DaemonLimits {
  size_t max_body = 1 << 20;                       // Bytes of a request's body.
  std::chrono::milliseconds idle_timeout{600000};  // Callers' connections without a request.
  std::chrono::milliseconds read_timeout{10000};   // From a request's first byte to its last.
  std::chrono::milliseconds stop_limit{10000};     // Graceful shutdown; then the rest is cut off.
  std::chrono::milliseconds max_deadline{60000};   // Longest deadline of a request.
  size_t max_in_flight = 20000;                    // Requests of callers at once.
  size_t trace_store = 4096;                       // Traces kept in memory.
};

/// Timing of the control plane.
struct ControlTiming {
  std::chrono::milliseconds probe{500};               // Between probes of one endpoint.
  std::chrono::milliseconds probe_timeout{400};       // Of one probe.
  std::chrono::milliseconds gossip{1000};             // Between membership probes.
  std::chrono::milliseconds gossip_timeout{400};      // Of one membership probe.
  std::chrono::milliseconds suspicion{3000};          // From suspected to dead.
  std::chrono::milliseconds digest{2000};             // Between digests to other failure domains.
  std::chrono::milliseconds vm_poll{1000};            // Between reads of the platform's VM list.
  std::chrono::milliseconds watch{10000};             // Longest wait of one platform watch.
  std::chrono::milliseconds platform_timeout{1000};   // Of a platform call other than a watch.
  std::chrono::milliseconds backoff_base{200};        // First delay after a failed platform call.
  std::chrono::milliseconds backoff_cap{10000};       // Longest delay.
  std::chrono::milliseconds electing{2000};           // Before another monitor takes over.
  std::chrono::milliseconds promotion_pause{5000};    // Between promotions of one group.
  std::chrono::milliseconds replication_stall{1000};  // Before a primary counts as cut off.
  double retry_share = 0.1;                           // Retries as a share of traffic, 0 to 1.
};

/// Settings of one daemon.
struct DaemonSettings {
  std::string daemon;          // Unique name.
  std::string failure_domain;  // Failure domain of the VM.
  ListenSettings listen;
  std::string platform;  // "IP:port".
  std::vector<SeedPeer> seed_peers;
  std::string keys_file;            // Shared keys; see ReadKeysFile().
  std::string operator_token_file;  // Token of the operators' API.
  int threads = 0;                  // I/O threads; 0: one for each core.
  LogSettings log;
  DaemonLimits limits;
  ControlTiming control;
};

/// Shared keys of the daemons.
struct KeySet {
  std::string current;                      // Id of the key for new MACs.
  std::map<std::string, std::string> keys;  // Secrets (raw bytes) by key id.
};

/// Parses the settings of one daemon.
/// @param text JSON text.
/// @param file File name for problems. Relative paths in the settings start at its directory.
/// @returns The settings.
/// @throws ConfigError with all problems.
DaemonSettings ParseDaemonSettings(const std::string& text, const std::string& file);

/// @param path Path of a settings file.
/// @returns The settings.
/// @throws ConfigError with all problems.
DaemonSettings ReadDaemonSettings(const std::string& path);

/// Reads `{"current": ID, "keys": {ID: HEX, ...}}`.
/// @param path Path of a keys file.
/// @returns The keys.
/// @throws ConfigError; it never contains a secret.
KeySet ReadKeysFile(const std::string& path);

/// @param path Path of a file with one token.
/// @returns The token without surrounding white space.
/// @throws ConfigError when the file is unreadable or the token is shorter than 16 characters.
std::string ReadTokenFile(const std::string& path);

}  // namespace poplarmoor
