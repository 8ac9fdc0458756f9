#pragma once

#include <memory>
#include <string>
#include <vector>

#include "kernel/takeover_plan.h"
#include "session/service_group.h"
#include "session/takeover_controller.h"

namespace poplarmoor {

// A daemon does not claim a takeover that is in progress until the daemon has seen no change of the
// stored takeover claim for this time. The holder of the claim is then assumed to have died or to
// be cut off from the store. The time is longer than the 1 s that the platform takes for a
// promotion.
inline constexpr Duration kClaimValidity = 2500ms;
inline constexpr Duration kStatusRoundInterval = 30ms;  // Time between two rounds of status calls.
inline constexpr Duration kOrderTimeout = 300ms;        // Time limit of one administrative order.
// Delay before a promotion order that the platform did not answer is sent again; each promotion
// order costs money.
inline constexpr Duration kPromotionRetryDelay = 100ms;

/// @returns Whether the claim's record of the group names the endpoint.
bool IsRecorded(const TakeoverClaim& claim, const std::string& id);

/// @returns The compared members with their log positions, as text for log lines.
std::string DescribeMembers(const std::vector<MemberStatus>& members);

/// A takeover that this daemon runs.
struct TakeoverController::Takeover {
  ServiceGroup* group;
  TakeoverClaim held;  // The claim under which the takeover runs.
  TakeoverView view;
  std::vector<std::string> paused;  // Ids of the replicas that were ordered to pause.
  bool promoting = false;           // The promotion has not ended.
  bool guarding = false;            // GuardPromotion() runs.

  // Whether no other daemon has claimed the takeover meanwhile.
  bool IsHeld() const { return this->group->claim.nonce == this->held.nonce; }
};

/// How the order of a promotion has ended.
enum class TakeoverController::PromotionResult {
  kDone,     // The platform has accepted the order.
  kRefused,  // The platform has refused the only order, which will not be carried out.
  kRetry,    // The order was refused, but an earlier one may still be carried out.
  kLost,     // The takeover is another daemon's, or the order could not be recorded.
};

}  // namespace poplarmoor
