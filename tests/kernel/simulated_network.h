#pragma once

#include <cstdint>
#include <vector>

#include "kernel/time.h"

namespace poplarmoor {

/// Which simulated processes reach each other. Nodes are numbered; see the constants.
class SimulatedNetwork {
 public:
  using Nodes = uint32_t;  // Bit set of node numbers.

  static constexpr int kFirstDaemon = 12;  // Endpoints have the numbers below.
  static constexpr int kStore = 24;
  static constexpr int kPlatform = 25;

  static constexpr Nodes Node(int number) { return Nodes{1} << number; }

  /// Cuts the nodes of one set off from those of another one for a time.
  void Cut(Nodes left, Nodes right, TimePoint begin, TimePoint end) {
    this->cuts.push_back({left, right, begin, end});
  }

  /// @returns Whether messages between two nodes arrive at a time.
  bool Connects(int left, int right, TimePoint now) const {
    for (const CutPeriod& cut : this->cuts) {
      const bool separates = ((cut.left & Node(left)) != 0 && (cut.right & Node(right)) != 0) ||
                             ((cut.left & Node(right)) != 0 && (cut.right & Node(left)) != 0);
      if (separates && now >= cut.begin && now < cut.end) {
        return false;
      }
    }
    return true;
  }

 private:
  struct CutPeriod {
    Nodes left;
    Nodes right;
    TimePoint begin;
    TimePoint end;
  };

  std::vector<CutPeriod> cuts;
};

}  // namespace poplarmoor
