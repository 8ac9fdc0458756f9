#include "kernel/admission/buffer_budget.h"

#include <catch2/catch.hpp>

namespace poplarmoor {
namespace {

// Guards against bytes that stay reserved after a refusal or after the end of a connection, which
// would refuse all later large messages.
TEST_CASE("buffer budget: refused and returned bytes can be reserved again") {
  constexpr size_t kLarge = 1 << 20;
  BufferBudget budget(kLarge);
  {
    BufferShare first(&budget);
    BufferShare second(&budget);
    CHECK(first.Resize(kLarge));
    CHECK_FALSE(second.Resize(kLarge));
    CHECK(second.Resize(BufferShare::kUnreserved));
    CHECK(first.Resize(0));
    CHECK(second.Resize(kLarge));
    CHECK_FALSE(second.Resize(3 * kLarge));
  }
  CHECK(budget.Used() == 0);
}

}  // namespace
}  // namespace poplarmoor
