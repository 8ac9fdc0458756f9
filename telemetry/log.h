#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

#include "kernel/log_settings.h"

namespace poplarmoor {

/// One structured field of a log line.
struct LogField {
  LogField(std::string_view key, std::string_view text) : key(key), value(text), is_text(true) {}
  LogField(std::string_view key, const char* text) : LogField(key, std::string_view(text)) {}
  LogField(std::string_view key, const std::string& text) : LogField(key, std::string_view(text)) {}
  LogField(std::string_view key, bool flag) : key(key), value(flag ? "true" : "false") {}
  LogField(std::string_view key, std::integral auto number)
      : key(key), value(std::to_string(number)) {}
  LogField(std::string_view key, double number);

  std::string key;
  std::string value;
  bool is_text = false;  // Whether the value is text, which is quoted in JSON.
};

/// Sets up the log of this program. Before this call and after ShutDownLog(), nothing is logged.
/// @param settings Lowest severity that is logged, log file, line format, and whether spans are
///     logged.
/// @param daemon Name of the daemon, written as service.instance.id into JSON lines; may be empty.
/// @throws std::runtime_error when the file cannot be opened.
void SetUpLog(const LogSettings& settings, const std::string& daemon);

/// @returns Number of log lines that were dropped since SetUpLog(); always 0 unless the log is
///     written to standard output. Lines are dropped when the reader of standard output does not
///     keep up or the rate limit is exceeded.
uint64_t DroppedLogLines();

/// Flushes and closes the log.
void ShutDownLog();

/// @param level Severity to check.
/// @returns Whether lines of this severity are written.
bool IsLogged(LogLevel level);

/// Writes one log line. Thread-safe.
/// @param level Severity of the line.
/// @param message Constant text; variable data belongs in the fields.
/// @param fields Structured fields with the variable data. Never pass secrets.
void Log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

}  // namespace poplarmoor
