#pragma once

#include <string>

#include "kernel/name_table.h"

namespace poplarmoor {

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

inline constexpr NameTable<LogLevel, 4> kLogLevelNames{{{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarn, "warn"},
    {LogLevel::kError, "error"},
}}};

/// Form of a log line.
enum class LogFormat {
  kJson,  // One JSON object per line, with the field names of the OpenTelemetry log model.
  kText,  // Plain text with time, level, message and key=value pairs.
};

inline constexpr NameTable<LogFormat, 2> kLogFormatNames{{{
    {LogFormat::kJson, "json"},
    {LogFormat::kText, "text"},
}}};

/// Where and how a program logs.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;  // Least severe level that is written.
  std::string file;                  // Log file, opened for appending; empty: stderr.
  // If `file` is empty: true logs to stdout instead of stderr and drops lines that would block the
  // program or exceed the maximum number of lines per second. No effect if `file` is set.
  bool standard_output = false;
  LogFormat format = LogFormat::kJson;
  bool spans = true;  // Whether each finished trace span gets a log line.
};

}  // namespace poplarmoor
