#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/endpoint_info.h"
#include "kernel/name_table.h"
#include "kernel/term_start.h"

namespace poplarmoor {

/// Phase of a group's current term.
enum class GroupPhase {
  kServing,   // The term has a primary, which GroupState::primary names.
  kElecting,  // A promotion is choosing the term's primary; GroupState::primary is empty.
};

inline constexpr NameTable<GroupPhase, 2> kGroupPhaseNames{{{
    {GroupPhase::kServing, "serving"},
    {GroupPhase::kElecting, "electing"},
}}};

/// State of the group of one service: the content of the platform object group/SERVICE.
struct GroupState {
  std::string service;
  uint64_t version = 0;  // Version of the platform object, for conditional updates.
  uint64_t term = 0;
  GroupPhase phase = GroupPhase::kServing;
  std::string primary;   // Name of the primary endpoint; empty in kElecting.
  std::string proposer;  // Proposer of the term: "DAEMON#NONCE", with a random nonce.
  std::vector<EndpointInfo> endpoints;
  std::vector<TermStart> term_starts;  // Where each term starts in the log, ordered by term.

  friend bool operator==(const GroupState&, const GroupState&) = default;
};

}  // namespace poplarmoor
