#include "session/daemon_entry.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace poplarmoor {

std::string EncodeDaemonEntry(const Peer& peer, uint64_t renewal_count, int64_t written_ms) {
  return nlohmann::json{{"address", peer.address},
                        {"failure_domain", peer.failure_domain},
                        {"capacity", peer.capacity},
                        {"beat", renewal_count},
                        {"written_ms", written_ms}}
      .dump();
}

int64_t EntryWriteTime(const std::string& text) {
  try {
    return nlohmann::json::parse(text).value("written_ms", int64_t{0});
  } catch (const nlohmann::json::exception&) {
    return 0;
  }
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
