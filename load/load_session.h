#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "kernel/log_position.h"
#include "net/http_connection.h"

namespace poplarmoor {

/// One caller's session: what it keeps between its calls.
struct LoadSession {
  int number = 0;
  std::string site;
  std::string token;        // Session token of the proxy.
  std::string transaction;  // Open transaction at the proxy.
  int sequence = 0;         // Of the transaction's next statement.

  // Direct mode.
  LogPosition position;                        // Of the newest acknowledged write.
  std::unique_ptr<HttpConnection> connection;  // Pinned by an open transaction.
};

}  // namespace poplarmoor
