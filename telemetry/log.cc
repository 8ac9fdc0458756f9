#include "telemetry/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <ctime>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "telemetry/bounded_appender.h"
#include "telemetry/log_line.h"

namespace poplarmoor {

namespace {

using Clock = std::chrono::system_clock;

// Severity numbers of the OpenTelemetry log data model, indexed by LogLevel.
constexpr std::array<int, 4> kSeverityNumbers{5, 9, 13, 17};

// State of the program's log. SetUpLog() and ShutDownLog() may run only while no other thread logs.
struct LogState {
  log4cplus::Initializer initializer;
  log4cplus::Logger logger = log4cplus::Logger::getInstance("poplarmoor");
  LogSettings settings;
  std::string daemon;
  std::atomic<bool> active{false};
  // Appender that the logger owns; null unless the log is written to standard output.
  BoundedAppender* bounded = nullptr;
};

LogState& State() {
  static LogState state;
  return state;
}

// Formats a time in UTC, for example "2026-01-31T23:59:59.123Z".
std::string FormatTime(Clock::time_point time) {
  const std::time_t seconds = Clock::to_time_t(time);
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count() % 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> text{};
  const size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(millis));
  return std::string(text.data(), size) + fraction.data();
}

std::string FormatJsonLine(Clock::time_point time,
                           LogLevel level,
                           const std::string& daemon,
                           std::string_view message,
                           const std::vector<LogField>& fields) {
  std::string line = R"({"Timestamp":")" + FormatTime(time) + R"(","SeverityText":")";
  line += kLogLevelNames.NameOf(level);
  line += R"(","SeverityNumber":)" + std::to_string(kSeverityNumbers[static_cast<size_t>(level)]);
  line += R"(,"Body":)" + QuoteJson(message);
  if (!daemon.empty()) {
    line += R"(,"Resource":{"service.name":"poplarmoor","service.instance.id":)" +
            QuoteJson(daemon) + "}";
  }
  std::string attributes;
  for (const LogField& field : fields) {
    // In the OpenTelemetry log data model, the trace id is a field of its own, not an attribute.
    if (field.key == "trace_id") {
      line += R"(,"TraceId":)" + QuoteJson(field.value);
      continue;
    }
    attributes += attributes.empty() ? "" : ",";
    attributes +=
        QuoteJson(field.key) + ":" + (field.is_text ? QuoteJson(field.value) : field.value);
  }
  return line + R"(,"Attributes":{)" + attributes + "}}";
}

std::string FormatTextLine(Clock::time_point time,
                           LogLevel level,
                           std::string_view message,
                           const std::vector<LogField>& fields) {
  std::string line = FormatTime(time) + " ";
  line += kLogLevelNames.NameOf(level);
  line += " ";
  // Appends a text to the line. A text with special characters is quoted, so that a line break in
  // it cannot forge a log line.
  const auto append = [&line](std::string_view text) {
    const bool plain = text.find_first_of(" \"\\=") == std::string_view::npos &&
                       std::all_of(text.begin(), text.end(),
                                   [](unsigned char byte) { return byte > 0x20 && byte < 0x7f; });
    line += plain && !text.empty() ? std::string(text) : QuoteJson(text);
  };
  line += message;
  for (const LogField& field : fields) {
    line += " " + field.key + "=";
    append(field.value);
  }
  return line;
}

}  // namespace

LogField::LogField(std::string_view key, double number)
    : key(key), value(std::isfinite(number) ? nlohmann::json(number).dump() : "null") {}

std::string QuoteJson(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string FormatLogLine(LogFormat format,
                          Clock::time_point time,
                          LogLevel level,
                          const std::string& daemon,
                          std::string_view message,
                          const std::vector<LogField>& fields) {
  return format == LogFormat::kJson ? FormatJsonLine(time, level, daemon, message, fields)
                                    : FormatTextLine(time, level, message, fields);
}

void SetUpLog(const LogSettings& settings, const std::string& daemon) {
  LogState& state = State();
  state.logger.removeAllAppenders();
  state.logger.setAdditivity(false);
  state.logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
  log4cplus::SharedAppenderPtr appender;
  if (settings.file.empty() && settings.standard_output) {
    state.bounded = new BoundedAppender(BoundedAppenderOptions());
    appender = state.bounded;
  } else if (settings.file.empty()) {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    // Checks that the file can be opened, because log4cplus reports a failure only on stderr and
    // then drops all lines.
    if (std::ofstream(settings.file, std::ios_base::app).fail()) {
      throw std::runtime_error("cannot open the log file " + settings.file);
    }
    appender = new log4cplus::FileAppender(settings.file, std::ios_base::app, true);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  state.logger.addAppender(appender);
  state.settings = settings;
  state.daemon = daemon;
  state.active = true;
}

uint64_t DroppedLogLines() {
  const LogState& state = State();
  return state.bounded == nullptr ? 0 : state.bounded->Dropped();
}

void ShutDownLog() {
  State().active = false;
  State().bounded = nullptr;
  State().logger.removeAllAppenders();
}

bool IsLogged(LogLevel level) {
  const LogState& state = State();
  return state.active && level >= state.settings.level;
}

void Log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields) {
  if (!IsLogged(level)) {
    return;
  }
  WriteLogLine(
      FormatLogLine(State().settings.format, Clock::now(), level, State().daemon, message, fields));
}

void WriteLogLine(const std::string& line) {
  if (State().active) {
    State().logger.forcedLog(log4cplus::INFO_LOG_LEVEL, line, nullptr, 0);
  }
}

bool AreSpansLogged() {
  return State().active && State().settings.spans;
}

LogFormat CurrentLogFormat() {
  return State().settings.format;
}

std::string CurrentLogDaemon() {
  return State().daemon;
}

}  // namespace poplarmoor
