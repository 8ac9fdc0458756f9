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
  std::string token;  // Session token from the proxy.
  // Text that identifies the open transaction, from the proxy's answer to the begin call.
  std::string transaction;
  int sequence = 0;  // Sequence number of the transaction's next statement.

  // `position` and `connection` are used only with the option --direct, with which the load tool
  // calls the endpoints without the proxy.
  LogPosition position;  // Log position of the newest acknowledged write.
  // Data connection of the call in progress or of the open transaction; null if there is neither.
  std::unique_ptr<HttpConnection> connection;
};

}  // namespace poplarmoor
