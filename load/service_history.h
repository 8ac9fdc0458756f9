#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace poplarmoor {

/// One entry of the log of a service's primary.
struct LoggedWrite {
  uint64_t index = 0;
  bool transaction = false;
  std::vector<std::pair<std::string, std::string>> puts;  // Written keys and values.
};

/// Log and execution counts that the endpoints of a service recorded.
struct ServiceHistory {
  std::vector<LoggedWrite> entries;  // Log of the current primary.
  // Number of runs of each request, by request id, summed over all endpoints that answered.
  std::map<std::string, int> executions;
};

}  // namespace poplarmoor
