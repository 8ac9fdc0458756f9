#pragma once

#include <cstddef>

#include "kernel/admission/buffer_budget.h"
#include "kernel/time.h"

namespace poplarmoor {

class CloseReporter;

/// Limits on what the callers of a daemon may make it hold.
struct CallerLimits {
  /// @param memory Memory of the VM, in bytes.
  explicit CallerLimits(size_t memory);

  BufferBudget messages;  // Messages and answers of all sessions together.
  BufferBudget states;    // Session values and prepared statements of all sessions together.
  // Largest size of the values and prepared statements of one session, in bytes. A statement of the
  // largest legal size fits.
  size_t max_state = (1 << 20) + (256 << 10);
  // Time limit for reading a message, from its first to its last byte.
  Duration read_timeout = 60s;
  // Time limit for sending an answer.
  Duration write_timeout = 60s;
  CloseReporter* closes = nullptr;  // Counts the connections closed for a limit; may be null.
};

}  // namespace poplarmoor
