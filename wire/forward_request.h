#pragma once

#include <cstdint>
#include <string>

#include "kernel/statement_request.h"

namespace poplarmoor {

/// Request that the entry (the daemon that received it from a caller) forwards to the daemon that
/// owns the endpoint.
struct ForwardRequest {
  StatementRequest statement;
  std::string endpoint;  // Name of the endpoint that should run the statement.
  uint64_t term = 0;     // Newest term of the group that the entry knows.
};

}  // namespace poplarmoor
