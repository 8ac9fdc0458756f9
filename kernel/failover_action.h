#pragma once

#include <cstdint>
#include <string>

#include "kernel/endpoint_info.h"
#include "kernel/group_state.h"
#include "kernel/name_table.h"

namespace poplarmoor {

/// What a failover asks its daemon to do.
enum class FailoverActionKind {
  kUpdate,    // Write `group` to the platform if its version is group.version; report by OnUpdate.
  kRead,      // Read the group object; report by OnRead.
  kFence,     // fence(term, proposer) at `endpoint`; report by OnFence.
  kPromote,   // promote(term, proposer, start_index) at `endpoint`.
  kFollow,    // follow(term, primary) at `endpoint`.
  kAnnounce,  // Push the unit of `group` to other daemons.
};

inline constexpr NameTable<FailoverActionKind, 6> kFailoverActionKindNames{{{
    {FailoverActionKind::kUpdate, "update"},
    {FailoverActionKind::kRead, "read"},
    {FailoverActionKind::kFence, "fence"},
    {FailoverActionKind::kPromote, "promote"},
    {FailoverActionKind::kFollow, "follow"},
    {FailoverActionKind::kAnnounce, "announce"},
}}};

/// One action of a failover.
struct FailoverAction {
  FailoverActionKind kind = FailoverActionKind::kRead;
  uint64_t call = 0;         // kUpdate, kRead: number to report the outcome with.
  GroupState group;          // kUpdate, kAnnounce; kPromote, kFollow: the state to establish.
  EndpointInfo endpoint;     // kFence, kPromote, kFollow: the endpoint to call.
  uint64_t term = 0;         // kFence, kPromote, kFollow.
  std::string proposer;      // kFence, kPromote.
  uint64_t start_index = 0;  // kPromote: last index before the term's first entry.
  EndpointInfo primary;      // kFollow.
};

}  // namespace poplarmoor
