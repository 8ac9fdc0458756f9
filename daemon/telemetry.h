#pragma once

#include "telemetry/metrics.h"
#include "telemetry/span_store.h"

namespace poplarmoor {

/// Metrics and recent spans of one daemon. Thread-safe.
struct Telemetry {
  explicit Telemetry(size_t max_traces) : spans(max_traces) {}

  SpanStore spans;
  Metrics metrics;
};

}  // namespace poplarmoor
