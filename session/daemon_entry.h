#pragma once

#include <cstdint>
#include <string>

#include "kernel/placement/gateway_plan.h"

namespace poplarmoor {

/// Name of the object kind under which the store keeps the daemons' entries.
inline constexpr char kDaemonKind[] = "daemons";

/// @param peer Daemon that the entry describes.
/// @param renewal_count Number that grows with each renewal of the entry, so that each renewal
///     changes the stored text.
/// @returns JSON text of the entry.
std::string EncodeDaemonEntry(const Peer& peer, uint64_t renewal_count);

/// @param daemon Name of the daemon, under which its entry is stored.
/// @param text JSON text of the entry.
/// @throws std::runtime_error when the text is malformed.
Peer DecodeDaemonEntry(const std::string& daemon, const std::string& text);

}  // namespace poplarmoor
