#include "telemetry/bounded_appender.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace poplarmoor {
namespace {

// Logger that writes into a pipe. Only ReadAll() reads the pipe.
class PipeLog {
 public:
  explicit PipeLog(uint32_t lines_per_second) {
    REQUIRE(::pipe(this->ends.data()) == 0);
    BoundedAppenderOptions options;
    options.descriptor = this->ends[1];
    options.lines_per_second = lines_per_second;
    this->appender = new BoundedAppender(options);
    this->appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    this->logger.setAdditivity(false);
    this->logger.removeAllAppenders();
    this->logger.addAppender(log4cplus::SharedAppenderPtr(this->appender));
  }

  ~PipeLog() {
    this->logger.removeAllAppenders();
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }

  void Write(const std::string& text) {
    this->logger.log(log4cplus::INFO_LOG_LEVEL, text, __FILE__, __LINE__, "");
  }

  std::string ReadAll() {
    ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    std::string all;
    std::array<char, 4096> bytes{};
    for (ssize_t size = 0; (size = ::read(this->ends[0], bytes.data(), bytes.size())) > 0;) {
      all.append(bytes.data(), static_cast<size_t>(size));
    }
    return all;
  }

  std::array<int, 2> ends{};
  log4cplus::Logger logger = log4cplus::Logger::getInstance("bounded");
  BoundedAppender* appender = nullptr;  // Owned by the logger.
};

TEST_CASE(
    "log lines are dropped while nothing reads the log pipe, so that logging does not block "
    "requests") {
  PipeLog log(1000000);
  for (int line = 0; line < 5000; ++line) {
    log.Write(std::string(100, 'x'));
  }
  CHECK(log.appender->Dropped() > 0);
  CHECK(log.ReadAll().size() >= 60000);
  log.Write("after");
  const std::string rest = log.ReadAll();
  CHECK(rest.find("log lines dropped") != std::string::npos);
  CHECK(rest.find("after") != std::string::npos);
}

TEST_CASE("log lines above the rate limit are not written, but counted as dropped") {
  PipeLog log(10);
  for (int line = 0; line < 1000; ++line) {
    log.Write("x");
  }
  // If the loop ends within one second, 990 lines are dropped. The bound is lower, because the loop
  // may take several seconds on a slow machine, and 10 lines are written in each second.
  CHECK(log.appender->Dropped() >= 900);
}

}  // namespace
}  // namespace poplarmoor
