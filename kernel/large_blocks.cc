#include "kernel/large_blocks.h"

#include <malloc.h>

namespace poplarmoor {

namespace {

constexpr int kLargeBlock = 64 << 10;  // Bytes.

}  // namespace

void ReturnLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, kLargeBlock);
  mallopt(M_TRIM_THRESHOLD, 2 * kLargeBlock);
}

}  // namespace poplarmoor
