#pragma once

#include <cstdint>
#include <string>

#include "kernel/name_table.h"

namespace poplarmoor {

/// State of a daemon in the member table. Of two reports about the same incarnation of a daemon,
/// the one with the later enumerator is used.
enum class MemberState {
  kAlive,
  kLeaving,  // Alive, but about to stop; gets no assignment (see Ownership).
  kSuspect,  // Did not answer a probe; counts as alive until the suspicion period ends.
  kDead,
};

inline constexpr NameTable<MemberState, 4> kMemberStateNames{{{
    {MemberState::kAlive, "alive"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kDead, "dead"},
}}};

/// One daemon, as the member table and membership updates describe it.
struct Member {
  std::string daemon;
  std::string address;  // Address of the daemon's peer listener, "IP:port".
  std::string failure_domain;
  // Number that the daemon itself raises when it starts, announces its stop or refutes a suspicion.
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const Member&, const Member&) = default;
};

/// @param update Update about a member.
/// @param current Current entry of the same member.
/// @returns Whether the update overrides the entry.
inline bool IsNewer(const Member& update, const Member& current) {
  return update.incarnation != current.incarnation ? update.incarnation > current.incarnation
                                                   : update.state > current.state;
}

/// @param state State of a member.
/// @returns Whether the state is kSuspect or kDead. A live member refutes reports that it is in
///     one of these states.
constexpr bool IsSuspectOrDead(MemberState state) {
  return state == MemberState::kSuspect || state == MemberState::kDead;
}

}  // namespace poplarmoor
