#pragma once

namespace poplarmoor {

/// Makes the allocator return each large block to the system as soon as it is freed. Without this,
/// glibc raises its threshold after the first large blocks and keeps later ones, so that the memory
/// of large messages stays resident. To be called at the start of a program.
void ReturnLargeBlocks();

}  // namespace poplarmoor
