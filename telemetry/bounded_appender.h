#pragma once

#include <chrono>
#include <cstdint>

#include <log4cplus/appender.h>

namespace poplarmoor {

/// Limits of a BoundedAppender.
struct BoundedAppenderOptions {
  int descriptor = 1;  // File descriptor to write to.
  // Largest number of lines per second; further lines are dropped. The default is more lines than
  // a daemon logs per second when every statement fails.
  uint32_t lines_per_second = 500;
};

/// Log appender that never blocks and limits the number of lines per second. It drops lines while
/// the reader of the file descriptor does not keep up or the rate limit is exceeded. Before the
/// next line that it can write, it logs the number of lines that it has dropped so far.
class BoundedAppender : public log4cplus::Appender {
 public:
  explicit BoundedAppender(BoundedAppenderOptions options);
  ~BoundedAppender() override;

  void close() override {}

  /// @returns Number of lines that this appender has dropped so far.
  uint64_t Dropped() const { return this->dropped_total; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  // Writes a line unless the write would block. Returns whether the whole line was written.
  bool Write(const std::string& line);
  bool IsWithinRate();

  BoundedAppenderOptions options;
  std::chrono::steady_clock::time_point second_start;  // Start of the current one-second interval.
  // Number of lines logged since `second_start`, including dropped ones. Lines are dropped while it
  // exceeds `lines_per_second`.
  uint32_t lines_in_second = 0;
  uint64_t dropped_total = 0;
  uint64_t reported_drops = 0;  // Value of dropped_total when it was last logged.
};

}  // namespace poplarmoor
