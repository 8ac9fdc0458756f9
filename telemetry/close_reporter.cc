#include "telemetry/close_reporter.h"

#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace {

constexpr std::chrono::seconds kLogInterval{1};

}  // namespace

void CloseReporter::Report(const std::string& listener,
                           CloseReason reason,
                           const std::string& client,
                           const std::string& cause) {
  const std::string_view name = kCloseReasonNames.NameOf(reason);
  if (this->metrics != nullptr) {
    this->metrics->Add(Metric::kClosedConnections, {listener, name});
  }
  uint64_t count = 0;
  {
    std::lock_guard lock(this->mutex);
    Line& line = this->lines[{listener, reason}];
    ++line.unlogged;
    const auto now = std::chrono::steady_clock::now();
    if (line.logged_at != std::chrono::steady_clock::time_point() &&
        now - line.logged_at < kLogInterval) {
      return;
    }
    line.logged_at = now;
    count = std::exchange(line.unlogged, 0);
  }
  Log(LogLevel::kWarn, "clients' connections closed",
      {{"listener", listener},
       {"reason", name},
       {"connections", count},
       {"last_client", client},
       {"cause", cause}});
}

}  // namespace poplarmoor
