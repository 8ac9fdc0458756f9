#pragma once

#include <array>
#include <string>

#include "kernel/rank.h"

namespace poplarmoor {

/// Work of one owner at one endpoint, for operators.
struct EndpointLoad {
  std::string endpoint;
  std::string address;
  std::array<size_t, kRankCount> waiting{};  // Requests in the queue, by rank.
  int running = 0;                           // Statements that hold a slot.
  int slots = 0;                             // Present concurrency limit.
  int connections = 0;                       // Open and opening.
  int idle = 0;                              // Idle connections.
  size_t transactions = 0;                   // Open transactions.
};

}  // namespace poplarmoor
