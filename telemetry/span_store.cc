#include "telemetry/span_store.h"

#include <functional>
#include <utility>

namespace poplarmoor {

namespace {
// Largest number of spans that are kept for one trace. A limit on the number of traces alone would
// not limit the memory: the trace of one transaction with many statements has so many spans that it
// could use as much memory as many short traces.
constexpr size_t kMaxSpansPerTrace = 64;
}  // namespace

SpanStore::SpanStore(size_t max_traces) : max_traces(max_traces) {}

SpanStore::Shard& SpanStore::ShardOf(const std::string& trace_id) {
  return this->shards[std::hash<std::string>()(trace_id) % kShards];
}

void SpanStore::Add(SpanRecord span) {
  const size_t max_in_shard = (this->max_traces + kShards - 1) / kShards;
  if (max_in_shard == 0) {
    return;
  }
  Shard& shard = this->ShardOf(span.trace_id);
  std::lock_guard lock(shard.mutex);
  const auto [trace, is_new] = shard.traces.try_emplace(span.trace_id);
  if (is_new) {
    shard.order.push_back(span.trace_id);
  }
  if (trace->second.size() < kMaxSpansPerTrace) {
    trace->second.push_back(std::move(span));
  }
  if (shard.order.size() > max_in_shard) {
    shard.traces.erase(shard.order.front());
    shard.order.pop_front();
  }
}

std::vector<SpanRecord> SpanStore::Find(const std::string& trace_id) const {
  const Shard& shard = const_cast<SpanStore*>(this)->ShardOf(trace_id);
  std::lock_guard lock(shard.mutex);
  const auto found = shard.traces.find(trace_id);
  return found == shard.traces.end() ? std::vector<SpanRecord>() : found->second;
}

std::string SpanStore::FindJson(const std::string& trace_id) const {
  const std::vector<SpanRecord> spans = this->Find(trace_id);
  if (spans.empty()) {
    return {};
  }
  // Trace ids in the store are hex digits, so the id needs no escaping.
  std::string text = R"({"trace_id":")" + trace_id + R"(","spans":[)";
  for (size_t i = 0; i < spans.size(); ++i) {
    text += (i == 0 ? "" : ",") + spans[i].ToJson();
  }
  return text + "]}";
}

}  // namespace poplarmoor
