#pragma once

#include "kernel/time.h"

namespace poplarmoor {

/// @returns Time since the boot of the VM, including the time in which the VM was suspended. The
///     steady clock omits suspensions, so log positions whose age is measured with the steady clock
///     would seem younger than they are.
TimePoint BootNow();

}  // namespace poplarmoor
