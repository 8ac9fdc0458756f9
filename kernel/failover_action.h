#pragma once

#include <cstdint>
#include <string>

#include "kernel/endpoint_info.h"
#include "kernel/group_state.h"
#include "kernel/name_table.h"

namespace poplarmoor {

/// Kind of an action that a Failover requests from its daemon.
enum class FailoverActionKind {
  // Write `group` to the platform if the version of the group object there is still group.version;
  // report by OnUpdate.
  kUpdate,
  kRead,      // Read the group object on the platform; report by OnRead.
  kFence,     // Call fence(term, proposer) at `endpoint`; report by OnFence.
  kPromote,   // Call promote(term, proposer, start_index) at `endpoint`.
  kFollow,    // Call follow(term, primary) at `endpoint`.
  kAnnounce,  // Push the configuration unit of `group` to other daemons.
};

inline constexpr NameTable<FailoverActionKind, 6> kFailoverActionKindNames{{{
    {FailoverActionKind::kUpdate, "update"},
    {FailoverActionKind::kRead, "read"},
    {FailoverActionKind::kFence, "fence"},
    {FailoverActionKind::kPromote, "promote"},
    {FailoverActionKind::kFollow, "follow"},
    {FailoverActionKind::kAnnounce, "announce"},
}}};

/// Action that a Failover requests from its daemon. The comment of each member names the kinds that
/// use it.
struct FailoverAction {
  FailoverActionKind kind = FailoverActionKind::kRead;
  uint64_t call = 0;  // Call number to pass to OnUpdate or OnRead; set for kUpdate and kRead.
  // Group state to write (kUpdate), to push (kAnnounce) or to put into effect (kPromote, kFollow).
  GroupState group;
  EndpointInfo endpoint;  // Endpoint to call; set for kFence, kPromote and kFollow.
  uint64_t term = 0;      // Term of the call; set for kFence, kPromote and kFollow.
  // Daemon that proposed the term, written "DAEMON#NONCE" with a random nonce; set for kFence and
  // kPromote.
  std::string proposer;
  uint64_t start_index = 0;  // Index of the last log entry before the term; set for kPromote.
  EndpointInfo primary;      // Primary that the endpoint follows; set for kFollow.
};

}  // namespace poplarmoor
