#pragma once

#include <array>
#include <string>

#include "kernel/rank.h"

namespace poplarmoor {

/// Load that one owner daemon puts on one endpoint, as reported to operators.
struct EndpointLoad {
  std::string endpoint;
  std::string address;
  std::array<size_t, kRankCount> waiting{};  // Queued requests, indexed by Rank.
  int running = 0;                           // Statements that occupy a slot.
  int slots = 0;                             // Current limit on concurrent statements.
  int connections = 0;                       // Open connections and those being opened.
  int idle = 0;                              // Open connections held by no request or transaction.
  size_t transactions = 0;                   // Open transactions.
};

}  // namespace poplarmoor
