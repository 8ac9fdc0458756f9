#pragma once

#include "kernel/time.h"

namespace poplarmoor {

/// @returns Time since the boot of the VM, including the time in which it was suspended. The steady
///     clock does not count suspension, so that evidence would seem younger than it is.
TimePoint BootNow();

}  // namespace poplarmoor
