#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/name_table.h"
#include "kernel/ordered_promotion.h"
#include "kernel/store_revision.h"

namespace poplarmoor {

/// Phase of a takeover. The holder is the daemon that has claimed the takeover and runs it.
enum class TakeoverPhase {
  kNone,     // No takeover of the service was claimed yet.
  kClaimed,  // The holder compares the replicas' logs.
  kOrdered,  // The holder orders the platform to promote the claim's endpoint.
  // The holder has given up the takeover and orders the paused replicas to resume replication. A
  // resume order that was not answered may still take effect during the next takeover and undo a
  // pause that the next takeover has ordered.
  kResuming,
  kAbandoned,  // The holder has given up the takeover, and every resume order was answered.
};

inline constexpr NameTable<TakeoverPhase, 5> kTakeoverPhaseNames{{{
    {TakeoverPhase::kNone, "none"},
    {TakeoverPhase::kClaimed, "claimed"},
    {TakeoverPhase::kOrdered, "ordered"},
    {TakeoverPhase::kResuming, "resuming"},
    {TakeoverPhase::kAbandoned, "abandoned"},
}}};

/// Endpoint whose log a takeover compares.
struct TakeoverMember {
  std::string id;
  std::string address;  // "IP:port".
  std::string failure_domain;
};

/// Newest takeover of a service, as recorded in the store. The holder's fencing token is made from
/// the revision that the stored object got when the takeover was claimed; see FencingToken().
struct TakeoverClaim {
  std::string service;
  TakeoverPhase phase = TakeoverPhase::kNone;
  std::string holder;    // Name of the daemon that runs the takeover.
  uint64_t nonce = 0;    // Distinguishes the takeover claims of one holder.
  std::string endpoint;  // Endpoint ordered to become the primary; set in phase kOrdered.
  // Promotions that were ordered, in the order of their tokens: the last one that has taken place
  // and those that may still do so. Each is recorded before its order is sent.
  std::vector<OrderedPromotion> ordered;
  std::string lost_primary;  // Primary that the holder cannot reach; empty when the takeover has
                             // another reason.
  // An earlier holder has ordered replicas to resume replication, and an endpoint may still carry
  // such an order out. The time for which it may do so starts anew at each daemon that learns of
  // it.
  bool resume_pending = false;
  // Members whose logs takeovers compare. Between takeovers, members that register are
  // added and forgotten ones removed, also before the first takeover (phase kNone). A daemon that
  // starts later may not find all of them in the registry.
  std::vector<TakeoverMember> members;
  StoreRevision revision;  // Revision of the takeover claim; number 0: the store has none.
};

/// Name of the object kind under which the store keeps the takeover claims.
inline constexpr char kTakeoverKind[] = "takeovers";

/// @returns JSON text of a takeover claim.
std::string EncodeTakeoverClaim(const TakeoverClaim& claim);

/// @param text JSON text of the takeover claim.
/// @param revision Revision of the takeover claim in the store.
/// @throws std::runtime_error when the text is malformed.
TakeoverClaim DecodeTakeoverClaim(const std::string& text, StoreRevision revision);

/// @param revision Revision that the store gave the takeover claim.
/// @returns Number for the promotion order. It rises with the revision, across eras, and is never
///     the same for two claims.
uint64_t FencingToken(StoreRevision revision);

}  // namespace poplarmoor
