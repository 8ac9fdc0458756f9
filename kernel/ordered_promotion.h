#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/log_position.h"

namespace poplarmoor {

/// A promotion that was ordered from the platform.
struct OrderedPromotion {
  std::string endpoint;
  // End of the endpoint's log when the promotion was ordered. A shorter log means that the endpoint
  // has started again without it.
  LogPosition received;
  // Lowest term in which the endpoint can lead by this order; 0: unknown.
  uint64_t term = 0;
};

/// @param ordered Promotions in the order of their fencing tokens. An endpoint that was ordered
///     twice may lead by its first order.
/// @param primary Endpoint that leads; empty: unknown.
/// @param term Term in which it leads; 0: unknown.
/// @returns The promotions that may still take place. The platform carries out no order with a
/// lower
///     token than that of the endpoint which leads. If the list does not name this endpoint, but
///     its term is later, the list is that of a store which was restored from a copy.
std::vector<OrderedPromotion> PendingPromotions(const std::vector<OrderedPromotion>& ordered,
                                                const std::string& primary,
                                                uint64_t term);

/// @returns The endpoints of the promotions except for `primary`, each once, in order of their ids.
std::vector<std::string> CandidatesOf(const std::vector<OrderedPromotion>& promotions,
                                      const std::string& primary);

}  // namespace poplarmoor
