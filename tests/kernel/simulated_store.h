#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/ordered_promotion.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Phase of a simulated takeover; see TakeoverPhase in session/takeover_claim.h.
enum class SimulatedPhase { kNone, kClaimed, kOrdered, kResuming, kAbandoned };

/// The takeover record of the simulated service.
struct SimulatedClaim {
  SimulatedPhase phase = SimulatedPhase::kNone;
  int holder = -1;
  uint64_t nonce = 0;
  std::vector<std::string> members;
  std::vector<OrderedPromotion> ordered;  // Promotions that may still take place, oldest first.
  bool resume_pending = false;
  uint64_t revision = 0;  // Also the fencing token if the revision belongs to a new claim.
};

/// Registry entry of a simulated endpoint.
struct SimulatedEntry {
  bool leaving = false;
};

/// The platform's store: the takeover record, written with conditional updates, and the registry.
struct SimulatedStore {
  SimulatedClaim claim;
  std::map<std::string, SimulatedEntry> registry;
  uint64_t next_revision = 1;

  /// Replaces the claim if its revision is the expected one.
  /// @returns The new revision, or 0 if the claim has another one.
  uint64_t Put(SimulatedClaim newer, uint64_t expected) {
    if (this->claim.revision != expected) {
      return 0;
    }
    newer.revision = this->next_revision++;
    this->claim = std::move(newer);
    return this->claim.revision;
  }
};

}  // namespace poplarmoor
