#include <cstdlib>

namespace poplarmoor {
namespace {

// Property tests run with a fixed seed, so that a failure can be reproduced. RC_PARAMS in the
// environment takes precedence.
[[maybe_unused]] const int kSeedSet = setenv("RC_PARAMS", "seed=20240501", 0);

}  // namespace
}  // namespace poplarmoor
