#pragma once

#include <chrono>
#include <cstdint>

#include <log4cplus/appender.h>

namespace poplarmoor {

/// Limits of a BoundedAppender.
struct BoundedAppenderOptions {
  int descriptor = 1;               // File descriptor to write to.
  uint32_t lines_per_second = 500;  // A daemon logs fewer, even if each statement fails.
};

/// Log appender that never blocks and limits the number of lines. Lines are dropped while the
/// reader does not keep up or the rate limit is exceeded; the number of dropped lines is logged as
/// soon as lines can be written again.
class BoundedAppender : public log4cplus::Appender {
 public:
  explicit BoundedAppender(BoundedAppenderOptions options);
  ~BoundedAppender() override;

  void close() override {}

  /// @returns Number of lines dropped since the start.
  uint64_t Dropped() const { return this->dropped_total; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  // Writes a line if the write does not block; returns whether the whole line was written.
  bool Write(const std::string& line);
  bool IsWithinRate();

  BoundedAppenderOptions options;
  std::chrono::steady_clock::time_point second_start;  // Start of the current one-second interval.
  uint32_t lines_in_second = 0;  // Lines since second_start, dropped ones included.
  uint64_t dropped_total = 0;
  uint64_t reported_drops = 0;  // Value of dropped_total in the last line that reported it.
};

}  // namespace poplarmoor
