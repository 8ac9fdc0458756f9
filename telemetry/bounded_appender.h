#pragma once

#include <chrono>
#include <cstdint>

#include <log4cplus/appender.h>

namespace poplarmoor {

/// Limits of a BoundedAppender.
struct BoundedAppenderOptions {
  int descriptor = 1;               // File descriptor that lines are written to.
  uint32_t lines_per_second = 500;  // Above the lines of a daemon whose every statement fails.
};

/// Appender that never blocks and writes a bounded number of lines: a line is dropped while the
/// reader does not keep up or the rate is exceeded, and the number of dropped lines is written once
/// there is room again.
class BoundedAppender : public log4cplus::Appender {
 public:
  explicit BoundedAppender(BoundedAppenderOptions options);
  ~BoundedAppender() override;

  void close() override {}

  /// @returns Lines dropped since the start.
  uint64_t Dropped() const { return this->dropped_total; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  // Writes a line if that does not block.
  bool Write(const std::string& line);
  bool MayWrite();

  BoundedAppenderOptions options;
  std::chrono::steady_clock::time_point second;  // Start of the current second.
  uint32_t lines = 0;                            // Written in it.
  uint64_t dropped_total = 0;
  uint64_t reported = 0;  // Of them, those that a line has told of.
};

}  // namespace poplarmoor
