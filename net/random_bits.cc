#include "net/random_bits.h"

#include <random>

#include "kernel/trace_id.h"

namespace poplarmoor {

uint64_t RandomBits() {
  thread_local std::mt19937_64 engine = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return engine();
}

std::string MakeRandomId() {
  return FormatHex64(RandomBits()) + FormatHex64(RandomBits());
}

}  // namespace poplarmoor
