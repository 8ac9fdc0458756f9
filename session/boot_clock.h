#pragma once

#include "kernel/time.h"

namespace poplarmoor {

/// @returns Time since the boot of the VM, suspension included. The steady clock leaves a
/// suspension
///     out, so that evidence would seem younger than it is.
TimePoint BootNow();

}  // namespace poplarmoor
