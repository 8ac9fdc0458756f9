#include "kernel/ordered_promotion.h"

#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

using Ids = std::vector<std::string>;

// Endpoints whose promotions may still take place, of promotions that were ordered in term 4.
Ids Pending(const Ids& ordered, const std::string& primary, uint64_t term) {
  std::vector<OrderedPromotion> promotions;
  for (const std::string& id : ordered) {
    promotions.push_back({id, {3, 100}, 4});
  }
  return CandidatesOf(PendingPromotions(promotions, primary, term), primary);
}

// Guards against commits that the candidate of an unanswered order lacks after another promotion.
TEST_CASE("only orders after that of the endpoint which leads may still be carried out") {
  CHECK(Pending({}, "p", 3).empty());
  CHECK(Pending({"a"}, "p", 3) == Ids{"a"});
  CHECK(Pending({"a"}, "a", 4).empty());
  CHECK(Pending({"a", "b"}, "a", 4) == Ids{"b"});
  CHECK(Pending({"a", "b"}, "b", 4).empty());
  CHECK(Pending({"a", "b"}, "p", 3) == Ids{"a", "b"});
  // Endpoint a may lead by its first order, so that b's order is not invalid yet.
  CHECK(Pending({"a", "b", "a"}, "a", 4) == Ids{"b"});
  CHECK(Pending({"a", "b", "a"}, "p", 3) == Ids{"a", "b"});
}

// Guards against an earlier primary that is promoted again because the store was restored from a
// copy which lacks the later promotions.
TEST_CASE("orders of terms before that of the primary are over if the list does not name it") {
  CHECK(Pending({"a"}, "p", 5).empty());
  CHECK(Pending({"a"}, "p", 4).empty());
  CHECK(Pending({"a"}, "p", 0) == Ids{"a"});
  CHECK(Pending({"a", "b"}, "a", 9) == Ids{"b"});
}

}  // namespace
}  // namespace poplarmoor
