#include "session/daemon_entry.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace poplarmoor {

std::string EncodeDaemonEntry(const Peer& peer, uint64_t renewal_count) {
  return nlohmann::json{{"address", peer.address},
                        {"failure_domain", peer.failure_domain},
                        {"capacity", peer.capacity},
                        {"beat", renewal_count}}
      .dump();
}

Peer DecodeDaemonEntry(const std::string& daemon, const std::string& text) {
  try {
    const nlohmann::json body = nlohmann::json::parse(text);
    // Daemons of earlier versions write no capacity.
    return {daemon, body.at("address"), body.at("failure_domain"), body.value("capacity", 0.0)};
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error("malformed entry of daemon " + daemon + ": " + error.what());
  }
}

}  // namespace poplarmoor
