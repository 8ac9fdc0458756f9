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

/// In-memory store of the spans of recent traces. The traces are distributed over shards by trace
/// id. When a full shard gets a new trace, it drops its oldest one. Thread-safe.
class SpanStore {
 public:
  /// @param max_traces Largest number of traces to keep, rounded up to a multiple of kShards; 0
  ///     keeps no trace.
  explicit SpanStore(size_t max_traces);

  /// Adds a span that has ended. The first 64 spans of a trace are kept; further ones are dropped.
  void Add(SpanRecord span);

  /// @param trace_id W3C trace id.
  /// @returns The trace's spans in the order in which they ended; empty when the trace is unknown.
  std::vector<SpanRecord> Find(const std::string& trace_id) const;

  /// @param trace_id W3C trace id.
  /// @returns The trace's spans as JSON text, `{"trace_id":ID,"spans":[...]}`; empty when the trace
  ///     is unknown.
  std::string FindJson(const std::string& trace_id) const;

 private:
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<std::string, std::vector<SpanRecord>> traces;
    std::deque<std::string> order;  // Ids of the shard's traces, oldest trace first.
  };

  static constexpr size_t kShards = 16;

  Shard& ShardOf(const std::string& trace_id);

  std::array<Shard, kShards> shards;
  size_t max_traces;
};

}  // namespace poplarmoor
