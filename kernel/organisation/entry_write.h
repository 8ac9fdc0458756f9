#pragma once

#include "kernel/time.h"

namespace poplarmoor {

/// A write of a daemon's entry in the store, by which the other daemons know it.
struct EntryWrite {
  bool known = false;       // Whether the others know the daemon from its earlier entry.
  TimePoint sent;           // Time at which the write was sent.
  Duration validity{};      // Time from the write for which the others count the daemon as live.
  Duration listed_after{};  // Time from the write after which all others have listed the daemon.
};

}  // namespace poplarmoor
