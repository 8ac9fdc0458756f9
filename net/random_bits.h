#pragma once

#include <cstdint>
#include <string>

namespace poplarmoor {

/// @returns 64 uniformly distributed random bits for jitter and for ids of traces and requests; not
///     for secrets, because the bits are predictable.
uint64_t RandomBits();

/// @returns An id of 32 random hex digits. Two equal ids are so improbable that each id can be
///     treated as unique.
std::string MakeRandomId();

}  // namespace poplarmoor
