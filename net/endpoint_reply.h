#pragma once

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Outcome of one operation on an endpoint connection.
struct EndpointReply {
  StatementResult result;
  bool usable = false;     // The connection may be used for another operation.
  bool timed_out = false;  // No answer arrived in time; the connection is closed.
};

}  // namespace poplarmoor
