#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "config/config_problem.h"

namespace poplarmoor {

/// @param path Path of a file.
/// @returns Its content.
/// @throws ConfigError when it cannot be read.
std::string ReadTextFile(const std::string& path);

/// Parses JSON. A repeated key of an object is a problem, because parsers silently keep one of the
/// two values.
/// @param text JSON text.
/// @param file File name for problems.
/// @returns The document.
/// @throws ConfigError with the line and column when the text is malformed.
nlohmann::json ParseJson(const std::string& text, const std::string& file);

/// Checks a document against a JSON Schema.
/// @param document Document.
/// @param schema_text Text of a JSON Schema (draft 7).
/// @param file File name for problems.
/// @returns All problems in the order of their pointers; empty when the document is valid.
std::vector<ConfigProblem> CheckSchema(const nlohmann::json& document,
                                       const std::string& schema_text,
                                       const std::string& file);

/// @param value Any value.
/// @returns Its JSON text, at most about 80 characters.
std::string ShortJson(const nlohmann::json& value);

/// Joins a JSON pointer and a member name.
/// @param pointer JSON pointer.
/// @param key Name of a member or an index, not escaped.
/// @returns The pointer of the member.
std::string JoinPointer(const std::string& pointer, const std::string& key);

}  // namespace poplarmoor
