#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "kernel/log_settings.h"

namespace poplarmoor {

/// Addresses on which a daemon listens, "IP:port" each.
struct ListenSettings {
  std::string callers;    // Address of the callers' API.
  std::string operators;  // Address of the operators' API and the metrics.
  std::string peers;      // Address of the peer protocol between daemons.
};

/// Daemon that a starting daemon contacts first to join the membership.
struct SeedPeer {
  std::string daemon;
  std::string address;  // Address of that daemon's peer listener, "IP:port".
  std::string failure_domain;
};

/// Limits on a daemon's requests, connections, stored traces and time to stop.
struct DaemonLimits {
  size_t max_body = 1 << 20;  // Largest request body, in bytes.
  // Time without a request on a caller's connection after which the daemon closes the connection.
  std::chrono::milliseconds idle_timeout{600000};
  // Longest time from the first byte of a request to its last byte.
  std::chrono::milliseconds read_timeout{10000};
  // Longest time that a stopping daemon waits for open requests and transactions to end; the daemon
  // then cuts off the requests and transactions that are still open.
  std::chrono::milliseconds stop_limit{10000};
  // Longest time limit of a request; a longer one that a caller sets is shortened to this one.
  std::chrono::milliseconds max_deadline{60000};
  size_t memory_mb = 160;  // Memory of the VM, in MB; the default is the smallest one.
  // Maximum number of callers' connections; 0: half of the open file descriptors that the process
  // may have.
  size_t max_connections = 0;
  size_t max_in_flight = 20000;  // Maximum number of concurrent requests from callers.
  size_t trace_store = 4096;     // Maximum number of traces kept in memory.
};

/// Timing of the control plane.
struct ControlTiming {
  std::chrono::milliseconds probe{500};          // Time between probes of one endpoint.
  std::chrono::milliseconds probe_timeout{400};  // Timeout of one endpoint probe.
  std::chrono::milliseconds membership_probe_interval{1000};  // Time between membership probes.
  std::chrono::milliseconds membership_probe_timeout{400};    // Timeout of one membership probe.
  // Time from the suspicion that a daemon has failed until that daemon is declared dead.
  std::chrono::milliseconds suspicion{3000};
  // Time between two probes in which a daemon compares a hash of its member table with that of a
  // daemon in another failure domain.
  std::chrono::milliseconds digest{2000};
  // Time between reads of the platform's VM list.
  std::chrono::milliseconds vm_poll{1000};
  // Longest time that one watch call to the platform waits for a change.
  std::chrono::milliseconds watch{10000};
  std::chrono::milliseconds platform_timeout{1000};  // Timeout of platform calls except watches.
  std::chrono::milliseconds backoff_base{200};       // First delay after a failed platform call.
  std::chrono::milliseconds backoff_cap{10000};      // Longest delay after failed platform calls.
  // Longest time that a group stays in phase `electing` before another daemon takes over the
  // election.
  std::chrono::milliseconds electing{2000};
  // Shortest time between two promotions of one group.
  std::chrono::milliseconds promotion_pause{5000};
  // Time without replication progress after which a primary counts as cut off from its replicas.
  std::chrono::milliseconds replication_stall{1000};
  double retry_share = 0.1;  // Maximum number of retries as a fraction of all requests, 0 to 1.
};

/// Settings of one daemon.
struct DaemonSettings {
  std::string daemon;          // Unique name of the daemon.
  std::string failure_domain;  // Failure domain of the daemon's VM.
  ListenSettings listen;
  std::string platform;  // Platform address, "IP:port".
  std::vector<SeedPeer> seed_peers;
  std::string keys_file;            // Path of the keys file; see ReadKeysFile().
  std::string operator_token_file;  // Path of the file with the operators' API token.
  int threads = 0;                  // Number of I/O threads; 0: one for each core.
  LogSettings log;
  DaemonLimits limits;
  ControlTiming control;
};

/// Keys that all daemons share to authenticate peer messages.
struct KeySet {
  std::string current_key_id;  // Id of the key with which the MACs of new messages are computed.
  std::map<std::string, std::string> keys;  // Secrets (raw bytes) by key id.
};

/// Parses the settings of one daemon.
/// @param text JSON text.
/// @param file File name for problem reports; relative paths in the settings are resolved from the
///     file's directory.
/// @returns The settings.
/// @throws ConfigError with all problems.
DaemonSettings ParseDaemonSettings(const std::string& text, const std::string& file);

/// @param path Path of a settings file.
/// @returns The settings.
/// @throws ConfigError with all problems.
DaemonSettings ReadDaemonSettings(const std::string& path);

/// Reads a keys file: `{"current": ID, "keys": {ID: HEX, ...}}`.
/// @param path Path of a keys file.
/// @returns The keys.
/// @throws ConfigError when the file is unreadable or malformed; no message contains a secret.
KeySet ReadKeysFile(const std::string& path);

/// @param path Path of a file with one token.
/// @returns The token without surrounding white space.
/// @throws ConfigError when the file is unreadable or the token is shorter than 16 characters.
std::string ReadTokenFile(const std::string& path);

}  // namespace poplarmoor
