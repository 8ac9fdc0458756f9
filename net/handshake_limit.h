#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <mutex>
#include <string>

#include "kernel/close_reason.h"

namespace poplarmoor {

class CloseReporter;
class PeerConnection;

/// Accepted connections whose handshake has not ended. Beyond the limit, a new connection takes the
/// place of the oldest one, because the handshake of a daemon takes only milliseconds. Thread-safe.
class HandshakeLimit {
 public:
  /// To be called before the first Add().
  /// @param max_handshakes Largest number of connections in their handshake; 0: no limit.
  /// @param closes Counts and logs the closed connections; must outlive this object.
  void Configure(size_t max_handshakes, CloseReporter* closes);

  /// Adds an accepted connection, and closes the oldest one if the limit is exceeded.
  void Add(std::shared_ptr<PeerConnection> connection);

  /// Removes a connection whose handshake has ended; does nothing if it was removed before.
  void Remove(const std::shared_ptr<PeerConnection>& connection);

  /// Counts and logs a connection that failed before its handshake had ended.
  /// @param client Address of the client, "IP:port"; may be empty.
  void Report(CloseReason reason, const std::string& client, const std::string& cause);

 private:
  size_t max_handshakes = 0;
  CloseReporter* closes = nullptr;
  std::mutex mutex;
  std::list<std::shared_ptr<PeerConnection>> connections;  // The oldest first.
};

}  // namespace poplarmoor
