#pragma once

#include <cstdint>
#include <string>

#include "kernel/gateway_plan.h"

namespace poplarmoor {

/// Kind of the daemons' entries in the store.
inline constexpr char kDaemonKind[] = "daemons";

/// @param peer Address and failure domain of a daemon.
/// @param renewal_count Number that grows with each renewal, so that the stored entry changes.
/// @returns JSON text of the entry.
std::string EncodeDaemonEntry(const Peer& peer, uint64_t renewal_count);

/// @param daemon Name of the daemon, under which its entry is stored.
/// @param text JSON text of the entry.
/// @throws std::runtime_error when the text is malformed.
Peer DecodeDaemonEntry(const std::string& daemon, const std::string& text);

}  // namespace poplarmoor
