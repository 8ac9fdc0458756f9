#include "session/caller_limits.h"

namespace poplarmoor {

namespace {

// Shares of the VM's memory. A message is held up to three times while it is decoded and sent to an
// endpoint, so the messages' share is far below the whole.
constexpr size_t kMessagesDivisor = 8;
constexpr size_t kStatesDivisor = 10;

}  // namespace

CallerLimits::CallerLimits(size_t memory)
    : messages(memory / kMessagesDivisor), states(memory / kStatesDivisor) {}

}  // namespace poplarmoor
