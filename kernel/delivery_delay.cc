#include "kernel/delivery_delay.h"

#include <algorithm>

namespace poplarmoor {

namespace {

// The smallest difference is that of this interval and the one before, so that the drift of two
// clocks against each other does not count as a delay.
constexpr Duration kInterval = 60s;
// After a pause of this length the drift may exceed the time limit of a statement.
constexpr Duration kMaxPause = 10min;

}  // namespace

Duration DeliveryDelay::Record(const std::string& sender,
                               uint64_t clock,
                               TimePoint sent,
                               TimePoint arrived) {
  if (clock == 0) {
    return {};
  }
  const Duration difference = arrived - sent;
  Sender& known = this->senders[sender];
  if (known.clock != clock || arrived - known.begun >= kMaxPause) {
    known = {clock, arrived, difference, difference};
  } else if (arrived - known.begun >= kInterval) {
    known = {clock, arrived, difference, known.smallest};
  }
  known.smallest = std::min(known.smallest, difference);
  return difference - std::min(known.smallest, known.previous);
}

}  // namespace poplarmoor
