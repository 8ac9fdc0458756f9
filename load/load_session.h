#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "kernel/log_position.h"
#include "net/http_connection.h"

namespace poplarmoor {

/// State that one caller's session keeps between its calls.
struct LoadSession {
  int number = 0;
  std::string site;
  std::string token;        // Session token from the proxy.
  std::string transaction;  // Id of the open transaction at the proxy.
  int sequence = 0;         // Sequence number of the transaction's next statement.

  // State for direct mode.
  LogPosition position;                        // Position of the newest acknowledged write.
  std::unique_ptr<HttpConnection> connection;  // In use by a call or by the open transaction.
};

}  // namespace poplarmoor
