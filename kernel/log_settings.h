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
  bool standard_output = false;      // If `file` is empty: log to stdout, bounded and non-blocking.
  LogFormat format = LogFormat::kJson;
  bool spans = true;  // Whether each finished trace span gets a log line.
};

}  // namespace poplarmoor
