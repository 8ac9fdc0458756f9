#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "config/config_problem.h"

namespace poplarmoor {

/// @param path Path of a file.
/// @returns The content of the file.
/// @throws ConfigError when the file cannot be read.
std::string ReadTextFile(const std::string& path);

/// Parses JSON, in which comments are ignored. Refuses a repeated key in an object, because the
/// parser would silently keep only one of the two values.
/// @param text JSON text.
/// @param file File name for problem reports.
/// @returns The parsed document.
/// @throws ConfigError with the line and column when the text is malformed, or with all repeated
///     keys.
nlohmann::json ParseJson(const std::string& text, const std::string& file);

/// Checks a document against a JSON Schema.
/// @param document Document to check.
/// @param schema_text Text of a JSON Schema (draft 7).
/// @param file File name for problem reports.
/// @returns All problems in the order of their pointers; empty when the document is valid.
std::vector<ConfigProblem> CheckSchema(const nlohmann::json& document,
                                       const std::string& schema_text,
                                       const std::string& file);

/// @param value Any JSON value.
/// @returns The JSON text of the value, shortened to at most 80 bytes.
std::string ShortJson(const nlohmann::json& value);

/// Appends a member name or an array index to a JSON pointer.
/// @param pointer JSON pointer.
/// @param key Name of an object member or index of an array element, not escaped.
/// @returns The pointer to the member or element.
std::string JoinPointer(const std::string& pointer, const std::string& key);

}  // namespace poplarmoor
