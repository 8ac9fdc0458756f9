#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "telemetry/span_record.h"

namespace poplarmoor {

/// Recent spans by trace id, in memory. The oldest trace is dropped when the store is full.
/// Thread-safe.
class SpanStore {
 public:
  /// @param max_traces Traces kept; 0 keeps none.
  explicit SpanStore(size_t max_traces);

  /// Keeps a finished span. Spans beyond 64 of one trace are dropped.
  void Add(SpanRecord span);

  /// @param trace_id W3C trace id.
  /// @returns The trace's spans in the order in which they ended; empty when it is unknown.
  std::vector<SpanRecord> Find(const std::string& trace_id) const;

  /// @param trace_id W3C trace id.
  /// @returns `{"trace_id":ID,"spans":[...]}`, or an empty text when the trace is unknown.
  std::string FindJson(const std::string& trace_id) const;

 private:
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<std::string, std::vector<SpanRecord>> traces;
    std::deque<std::string> order;  // Trace ids, oldest first.
  };

  static constexpr size_t kShards = 16;

  Shard& ShardOf(const std::string& trace_id);

  std::array<Shard, kShards> shards;
  size_t max_traces;
};

}  // namespace poplarmoor
