#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/log_settings.h"

namespace poplarmoor {

struct LogField;

/// @param text Any bytes.
/// @returns The text as a JSON string with its quotes. Bytes that are not valid UTF-8 are replaced
///     by U+FFFD.
std::string QuoteJson(std::string_view text);

/// Formats a log line.
/// @param format Whether the line is JSON or text.
/// @param time Time of the event that the line reports.
/// @param level Severity of the line.
/// @param daemon Name of the daemon, written into JSON lines only; empty: it is left out.
/// @param message Text of the line.
/// @param fields Structured fields.
/// @returns The formatted line without a line break.
std::string FormatLogLine(LogFormat format,
                          std::chrono::system_clock::time_point time,
                          LogLevel level,
                          const std::string& daemon,
                          std::string_view message,
                          const std::vector<LogField>& fields);

/// Writes an already formatted line to the log, whatever the lowest logged severity is. Used for
/// spans.
/// @param line The line without a line break.
void WriteLogLine(const std::string& line);

/// @returns Whether spans are written to the log when they end.
bool AreSpansLogged();

/// @returns The format of log lines that SetUpLog() was given.
LogFormat CurrentLogFormat();

/// @returns The daemon name that SetUpLog() was given.
std::string CurrentLogDaemon();

}  // namespace poplarmoor
