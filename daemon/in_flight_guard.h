#pragma once

#include <atomic>

namespace poplarmoor {

/// Counts a request in progress for as long as it exists.
class InFlightGuard {
 public:
  /// @param count Counter; must outlive this object.
  explicit InFlightGuard(std::atomic<int>* count) : count(count) { ++*this->count; }
  ~InFlightGuard() { --*this->count; }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

 private:
  std::atomic<int>* count;
};

}  // namespace poplarmoor
