#pragma once

#include <atomic>
#include <cstddef>

namespace poplarmoor {

/// Limit on the bytes that a process buffers for all its clients together. Thread-safe.
class BufferBudget {
 public:
  /// @param limit Largest sum of the reservations, in bytes.
  explicit BufferBudget(size_t limit) : limit_bytes(limit) {}

  /// @returns Whether the bytes were reserved; false when they exceed the limit.
  bool TryReserve(size_t bytes);

  void Release(size_t bytes) { this->reserved -= bytes; }

  /// @returns Sum of the reservations, in bytes.
  size_t Used() const { return this->reserved.load(); }

  /// @returns Largest sum of the reservations, in bytes.
  size_t Limit() const { return this->limit_bytes; }

 private:
  const size_t limit_bytes;
  std::atomic<size_t> reserved{0};
};

/// Bytes that one connection holds of a BufferBudget. The destructor returns them. A connection
/// needs no reservation for its first bytes, so that small messages are served while the budget is
/// used up.
class BufferShare {
 public:
  /// Number of bytes of a connection that need no reservation.
  static constexpr size_t kUnreserved = 4 << 10;

  /// @param budget Must outlive this object; null: no limit.
  explicit BufferShare(BufferBudget* budget) : budget(budget) {}
  ~BufferShare() { this->Resize(0); }
  BufferShare(const BufferShare&) = delete;
  BufferShare& operator=(const BufferShare&) = delete;

  /// Changes the number of bytes that the connection buffers.
  /// @param bytes New number of bytes.
  /// @returns False when the budget is used up; the share is then unchanged. A smaller number than
  ///     before is always possible.
  bool Resize(size_t bytes);

 private:
  BufferBudget* budget;
  size_t reserved = 0;
};

}  // namespace poplarmoor
