#pragma once

#include <cstdint>
#include <string>

#include "kernel/statement_request.h"

namespace poplarmoor {

/// One request from an entry to the owner of an endpoint.
struct ForwardRequest {
  StatementRequest statement;
  std::string endpoint;  // Name of the endpoint that should run it.
  uint64_t term = 0;     // Term of the group as the entry knows it.
};

}  // namespace poplarmoor
