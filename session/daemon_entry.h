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
/// @param written_ms Time of the write by the clock of the daemon's VM, in ms since 1970; 0:
/// unknown.
/// @returns JSON text of the entry.
std::string EncodeDaemonEntry(const Peer& peer, uint64_t renewal_count, int64_t written_ms = 0);

/// @param text JSON text of an entry.
/// @returns Time of the write by the clock of the daemon's VM, in ms since 1970; 0 when it is
///     missing or malformed.
int64_t EntryWriteTime(const std::string& text);

/// @param daemon Name of the daemon, under which its entry is stored.
/// @param text JSON text of the entry.
/// @throws std::runtime_error when the text is malformed.
Peer DecodeDaemonEntry(const std::string& daemon, const std::string& text);

}  // namespace poplarmoor
