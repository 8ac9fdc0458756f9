#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace poplarmoor {

/// One fault of a settings or configuration file.
struct ConfigProblem {
  std::string file;
  std::string pointer;  // JSON pointer to the value; empty: the whole document.
  std::string value;    // The value as JSON, shortened; empty when it is missing or secret.
  std::string message;  // Description of the fault.
  std::string allowed;  // Description of the allowed values.

  /// @returns The problem as one line of text.
  std::string ToString() const;

  friend bool operator==(const ConfigProblem&, const ConfigProblem&) = default;
};

/// Error that lists all problems of the checked files, not only the first.
class ConfigError : public std::runtime_error {
 public:
  /// @param problems All problems; at least one.
  explicit ConfigError(std::vector<ConfigProblem> problems);

  std::vector<ConfigProblem> problems;
};

/// Finds the intended spelling of a misspelt name.
/// @param name Name as written in the file.
/// @param known Names that exist.
/// @returns The known name with the smallest edit distance, or an empty string when the edit
///     distance of each known name is more than half the length of `name`.
std::string FindNearest(const std::string& name, const std::vector<std::string>& known);

/// @param names Names to list.
/// @returns The names separated by ", ".
std::string JoinNames(const std::vector<std::string>& names);

}  // namespace poplarmoor
