#pragma once

#include <cstdint>
#include <string>

#include "kernel/name_table.h"

namespace poplarmoor {

enum class TakeoverPhase {
  kNone,       // No takeover was ever claimed.
  kClaimed,    // The holder compares the replicas.
  kOrdered,    // The holder has ordered the promotion of the endpoint.
  kResuming,   // The holder lets paused replicas receive again, perhaps later than it knows.
  kAbandoned,  // The holder has given up.
};

inline constexpr NameTable<TakeoverPhase, 5> kTakeoverPhaseNames{{{
    {TakeoverPhase::kNone, "none"},
    {TakeoverPhase::kClaimed, "claimed"},
    {TakeoverPhase::kOrdered, "ordered"},
    {TakeoverPhase::kResuming, "resuming"},
    {TakeoverPhase::kAbandoned, "abandoned"},
}}};

/// Record in the store of the newest takeover of a service. Its revision at the claim is the
/// holder's fencing token.
struct TakeoverClaim {
  std::string service;
  TakeoverPhase phase = TakeoverPhase::kNone;
  std::string holder;        // Daemon.
  uint64_t nonce = 0;        // Tells the holder's attempts apart.
  std::string endpoint;      // Of kOrdered: the new primary.
  std::string lost_primary;  // Endpoint that the holder cannot reach; empty when it leaves.
  uint64_t revision = 0;     // Of the object in the store; 0: it does not exist.
};

/// Kind of the claims in the store.
inline constexpr char kTakeoverKind[] = "takeovers";

/// @returns JSON text of a claim.
std::string EncodeTakeoverClaim(const TakeoverClaim& claim);

/// @param text JSON text.
/// @param revision Of the object.
/// @throws std::runtime_error when the text is malformed.
TakeoverClaim DecodeTakeoverClaim(const std::string& text, uint64_t revision);

}  // namespace poplarmoor
