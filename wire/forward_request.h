#pragma once

#include <cstdint>
#include <string>

#include "kernel/statement_request.h"

namespace poplarmoor {

/// Request that the entry daemon has received from a caller and forwards to the owner of an
/// endpoint.
struct ForwardRequest {
  StatementRequest statement;
  std::string endpoint;  // Name of the endpoint that should run the statement.
  uint64_t term = 0;     // Newest term that the entry daemon knows of the endpoint's group.
};

}  // namespace poplarmoor
