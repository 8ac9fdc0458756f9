#include "kernel/admission/buffer_budget.h"

namespace poplarmoor {

namespace {

// Reservations are multiples of this number of bytes, so that a growing buffer changes the counter
// of all threads rarely.
constexpr size_t kStep = 16 << 10;

}  // namespace

bool BufferBudget::TryReserve(size_t bytes) {
  if (this->reserved.fetch_add(bytes) + bytes > this->limit_bytes) {
    this->reserved -= bytes;
    return false;
  }
  return true;
}

bool BufferShare::Resize(size_t bytes) {
  if (this->budget == nullptr) {
    return true;
  }
  const size_t excess = bytes > kUnreserved ? bytes - kUnreserved : 0;
  const size_t wanted = (excess + kStep - 1) / kStep * kStep;
  if (wanted > this->reserved && !this->budget->TryReserve(wanted - this->reserved)) {
    return false;
  }
  if (wanted < this->reserved) {
    this->budget->Release(this->reserved - wanted);
  }
  this->reserved = wanted;
  return true;
}

}  // namespace poplarmoor
