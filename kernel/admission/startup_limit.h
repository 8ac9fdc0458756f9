#pragma once

#include <cstdint>

#include "kernel/time.h"

namespace poplarmoor {

/// Time after a daemon's start for which StartupConnectionLimit() applies. After a common power
/// loss, the connections of the previous processes count towards an endpoint's connection limit
/// until the endpoint drops them, 3 s after their VMs have disappeared.
inline constexpr Duration kStartupLimitTime = 3500ms;

/// Limits how many connections to one endpoint a daemon opens while all daemons may have just
/// restarted together. Idle daemons keep half of their share of the endpoint's connections closed,
/// so the first limit is the other half. It then grows step by step, at the same pace in all
/// daemons, so that they divide evenly whatever else the endpoint accepts.
/// @param share Number of connections that the daemon can open even if every other daemon has
///     opened the same number.
/// @param borrowed Largest number of connections that the daemon may open beyond its share.
/// @param age Time since the daemon learned of the endpoint.
/// @returns Largest number of connections to use, at least 1 and at most `share + borrowed`.
uint32_t StartupConnectionLimit(uint32_t share, uint32_t borrowed, Duration age);

}  // namespace poplarmoor
