#pragma once

#include <atomic>

namespace poplarmoor {

/// Counts one request as in progress for the lifetime of this object.
class InFlightGuard {
 public:
  /// @param count Number of requests in progress; must outlive this object.
  explicit InFlightGuard(std::atomic<int>* count) : count(count) { ++*this->count; }
  ~InFlightGuard() { --*this->count; }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

 private:
  std::atomic<int>* count;
};

}  // namespace poplarmoor
