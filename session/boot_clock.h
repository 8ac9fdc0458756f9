#pragma once

#include "kernel/time.h"

namespace poplarmoor {

/// @returns Time since the boot of the VM, including the time in which the VM was suspended. The
///     steady clock omits suspensions; with it, log positions would seem younger than they are.
TimePoint BootNow();

}  // namespace poplarmoor
