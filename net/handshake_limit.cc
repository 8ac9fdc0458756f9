#include "net/handshake_limit.h"

#include <utility>

#include "net/peer_connection.h"
#include "telemetry/close_reporter.h"
#include "telemetry/log.h"

namespace poplarmoor {

void HandshakeLimit::Configure(size_t max_handshakes, CloseReporter* closes) {
  this->max_handshakes = max_handshakes;
  this->closes = closes;
}

void HandshakeLimit::Add(std::shared_ptr<PeerConnection> connection) {
  std::shared_ptr<PeerConnection> oldest;
  {
    std::lock_guard lock(this->mutex);
    this->connections.push_back(std::move(connection));
    if (this->max_handshakes > 0 && this->connections.size() > this->max_handshakes) {
      oldest = std::move(this->connections.front());
      this->connections.pop_front();
    }
  }
  if (oldest != nullptr) {
    this->Report(CloseReason::kTooManyConnections, "", "the oldest handshake was ended");
    oldest->Close();
  }
}

void HandshakeLimit::Remove(const std::shared_ptr<PeerConnection>& connection) {
  std::lock_guard lock(this->mutex);
  this->connections.remove(connection);
}

void HandshakeLimit::Report(CloseReason reason,
                            const std::string& client,
                            const std::string& cause) {
  if (this->closes != nullptr) {
    this->closes->Report("peers", reason, client, cause);
  } else {
    Log(LogLevel::kWarn, "closing the connection from a peer",
        {{"peer", client}, {"error", cause}});
  }
}

}  // namespace poplarmoor
