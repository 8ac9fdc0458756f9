#pragma once

#include "kernel/time.h"

namespace poplarmoor {

/// @returns Time since the boot of the VM, including the time in which it was suspended. The steady
///     clock omits suspensions, which would make known log positions seem younger than they are.
TimePoint BootNow();

}  // namespace poplarmoor
