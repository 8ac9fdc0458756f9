#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "kernel/time.h"

namespace poplarmoor {

/// Measures how long messages of other daemons were held up on their way. The clocks of two daemons
/// differ by an unknown amount, so a message's delay is counted from the fastest of the sender's
/// recent messages.
class DeliveryDelay {
 public:
  /// Records a message and returns its delay.
  /// @param sender Name of the daemon that sent the message.
  /// @param clock Id of the clock of the sender's process; 0: the message has no sending time.
  /// @param sent Sending time on that clock.
  /// @param arrived Arrival time on this daemon's clock.
  /// @returns Time for which the message was held up; 0 for the first message of a process and for
  ///     messages without a sending time.
  Duration Record(const std::string& sender, uint64_t clock, TimePoint sent, TimePoint arrived);

 private:
  // Differences between arrival and sending time of the messages of one process.
  struct Sender {
    uint64_t clock = 0;
    TimePoint begun;      // Start of the present interval.
    Duration smallest{};  // In the present interval.
    Duration previous{};  // Smallest one of the interval before.
  };

  std::map<std::string, Sender> senders;
};

}  // namespace poplarmoor
