#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/log_settings.h"

namespace poplarmoor {

struct LogField;

/// @param text Any bytes.
/// @returns The text as a JSON string with quotes; bytes that are not UTF-8 are replaced.
std::string QuoteJson(std::string_view text);

/// Formats a log line.
/// @param format Form of the line.
/// @param time Time of the event.
/// @param level Severity.
/// @param daemon Name of the program's instance; may be empty.
/// @param message Text.
/// @param fields Structured fields.
/// @returns One line without line break.
std::string FormatLogLine(LogFormat format,
                          std::chrono::system_clock::time_point time,
                          LogLevel level,
                          const std::string& daemon,
                          std::string_view message,
                          const std::vector<LogField>& fields);

/// Writes a finished line past the level check, for spans.
/// @param line One line without line break.
void WriteLogLine(const std::string& line);

/// @returns Whether finished spans are written to the log.
bool AreSpansLogged();

/// @returns Form of the log's lines.
LogFormat CurrentLogFormat();

/// @returns The name given to SetUpLog().
std::string CurrentLogDaemon();

}  // namespace poplarmoor
