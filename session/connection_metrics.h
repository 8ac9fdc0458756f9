#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "kernel/time.h"

namespace poplarmoor {

class Cluster;
class Metrics;

/// Publishes the connections and waiting statements of the organisations as metrics, and logs the
/// evictions. Does nothing in a deployment without organisations.
class ConnectionMetrics {
 public:
  /// Publishes the present values, at most once a second.
  /// @param now Current time.
  void Publish(Cluster* cluster, Metrics* metrics, TimePoint now);

 private:
  struct Counts {
    uint64_t opened = 0;
    uint64_t evicted = 0;
  };

  TimePoint next;
  std::map<std::string, Counts> published;  // Counters as last published, by endpoint.
  std::set<std::string> listed;             // Organisations with series of their own.
};

}  // namespace poplarmoor
