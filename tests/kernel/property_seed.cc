#include <cstdlib>

namespace poplarmoor {
namespace {

// The property tests (RapidCheck) run with a fixed seed, so that a failure can be reproduced. A
// value of RC_PARAMS that the environment already has takes precedence.
[[maybe_unused]] const int kSeedSet = setenv("RC_PARAMS", "seed=20240501", 0);

}  // namespace
}  // namespace poplarmoor
