#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace poplarmoor {

/// One fault of a settings or configuration file.
struct ConfigProblem {
  std::string file;
  std::string pointer;  // JSON pointer of the value; empty: the whole document.
  std::string value;    // The value as JSON, shortened; empty when it is missing or secret.
  std::string message;  // What is wrong.
  std::string allowed;  // What is allowed.

  /// @returns One line with all parts.
  std::string ToString() const;

  friend bool operator==(const ConfigProblem&, const ConfigProblem&) = default;
};

/// Reports every problem that was found, not only the first.
class ConfigError : public std::runtime_error {
 public:
  /// @param problems At least one problem.
  explicit ConfigError(std::vector<ConfigProblem> problems);

  std::vector<ConfigProblem> problems;
};

/// Finds the intended spelling of a misspelt name.
/// @param name Name as written.
/// @param known Names that exist.
/// @returns The known name with the smallest edit distance, or empty when none is similar.
std::string FindNearest(const std::string& name, const std::vector<std::string>& known);

/// @param names Names to list.
/// @returns The names separated by ", ".
std::string JoinNames(const std::vector<std::string>& names);

}  // namespace poplarmoor
