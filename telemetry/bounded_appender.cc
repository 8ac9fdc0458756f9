#include "telemetry/bounded_appender.h"

#include <poll.h>
#include <unistd.h>

#include <sstream>

namespace poplarmoor {

namespace {

// Size limit of a line in bytes; longer lines are cut. A pipe that poll() reports as writable
// accepts this many bytes without blocking.
constexpr size_t kMaxLine = 4096;

}  // namespace

BoundedAppender::BoundedAppender(BoundedAppenderOptions options) : options(options) {}

BoundedAppender::~BoundedAppender() {
  this->destructorImpl();
}

bool BoundedAppender::Write(const std::string& line) {
  pollfd state{this->options.descriptor, POLLOUT, 0};
  if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
    return false;
  }
  const std::string bounded = line.size() <= kMaxLine ? line : line.substr(0, kMaxLine - 1) + "\n";
  return ::write(this->options.descriptor, bounded.data(), bounded.size()) ==
         static_cast<ssize_t>(bounded.size());
}

bool BoundedAppender::IsWithinRate() {
  const auto now = std::chrono::steady_clock::now();
  if (now - this->second_start >= std::chrono::seconds(1)) {
    this->second_start = now;
    this->lines_in_second = 0;
  }
  return ++this->lines_in_second <= this->options.lines_per_second;
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  if (!this->IsWithinRate()) {
    ++this->dropped_total;
    return;
  }
  if (this->dropped_total > this->reported_drops) {
    const std::string notice =
        R"({"SeverityText":"warn","Body":"log lines dropped","Attributes":{"total":)" +
        std::to_string(this->dropped_total) + "}}\n";
    if (this->Write(notice)) {
      this->reported_drops = this->dropped_total;
    }
  }
  std::ostringstream line;
  this->layout->formatAndAppend(line, event);
  if (!this->Write(line.str())) {
    ++this->dropped_total;
  }
}

}  // namespace poplarmoor
