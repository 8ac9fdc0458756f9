#pragma once

#include <cstdint>
#include <string>

#include "kernel/statement_request.h"

namespace poplarmoor {

/// Request that the daemon called by a caller (the entry) sends to the owner of an endpoint.
struct ForwardRequest {
  StatementRequest statement;
  std::string endpoint;  // Name of the endpoint that should run the statement.
  uint64_t term = 0;     // Newest term of the group that the entry knows.
};

}  // namespace poplarmoor
