#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "kernel/close_reason.h"

namespace poplarmoor {

class Metrics;

/// Counts the connections that a daemon closes because of their clients, and logs them: at most one
/// line a second for each listener and reason, which gives the number of connections since the
/// line before. Thread-safe.
class CloseReporter {
 public:
  /// @param metrics Must outlive this object; null: the connections are only logged.
  explicit CloseReporter(Metrics* metrics) : metrics(metrics) {}

  /// Reports one closed connection.
  /// @param listener Name of the listener, for example "callers".
  /// @param reason Why the connection was closed.
  /// @param client Address of the client, "IP:port"; the log gives the last one.
  /// @param cause Details for the log; may be empty.
  void Report(const std::string& listener,
              CloseReason reason,
              const std::string& client,
              const std::string& cause = "");

 private:
  struct Line {
    std::chrono::steady_clock::time_point logged_at;
    uint64_t unlogged = 0;  // Connections that no line counts yet.
  };

  Metrics* metrics;
  std::mutex mutex;
  std::map<std::pair<std::string, CloseReason>, Line> lines;
};

}  // namespace poplarmoor
