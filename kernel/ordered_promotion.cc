#include "kernel/ordered_promotion.h"

#include <algorithm>
#include <set>

namespace poplarmoor {

std::vector<OrderedPromotion> PendingPromotions(const std::vector<OrderedPromotion>& ordered,
                                                const std::string& primary,
                                                uint64_t term) {
  const auto leads = std::find_if(ordered.begin(), ordered.end(), [&](const auto& promotion) {
    return promotion.endpoint == primary;
  });
  if (leads != ordered.end()) {
    return {leads + 1, ordered.end()};
  }
  std::vector<OrderedPromotion> pending;
  std::copy_if(ordered.begin(), ordered.end(), std::back_inserter(pending),
               [term](const auto& promotion) {
                 return term == 0 || promotion.term == 0 || promotion.term > term;
               });
  return pending;
}

std::vector<std::string> CandidatesOf(const std::vector<OrderedPromotion>& promotions,
                                      const std::string& primary) {
  std::set<std::string> candidates;
  for (const OrderedPromotion& promotion : promotions) {
    candidates.insert(promotion.endpoint);
  }
  candidates.erase(primary);
  return {candidates.begin(), candidates.end()};
}

}  // namespace poplarmoor
