#pragma once

#include "kernel/statement_result.h"

namespace poplarmoor {

/// Outcome of one operation on an endpoint connection.
struct EndpointReply {
  StatementResult result;
  bool usable = false;  // Whether the connection may be used for another operation.
  // Whether the operation failed because no complete answer arrived in time. The connection was
  // closed then.
  bool timed_out = false;
};

}  // namespace poplarmoor
