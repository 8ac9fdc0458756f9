#pragma once

#include <cstdint>
#include <string>

namespace poplarmoor {

/// @returns 64 uniformly distributed random bits for jitter and for ids of traces and requests; not
///     for secrets, because they are predictable.
uint64_t RandomBits();

/// @returns 32 random hex digits, unique in practice.
std::string MakeRandomId();

}  // namespace poplarmoor
