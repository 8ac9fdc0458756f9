#pragma once

#include <stdexcept>
#include <string>

namespace poplarmoor {

/// A message that does not have the form its protocol requires.
class CodecError : public std::runtime_error {
 public:
  /// @param field Name of the offending field; empty when the whole message is malformed.
  /// @param message What is wrong with it.
  CodecError(const std::string& field, const std::string& message)
      : std::runtime_error((field.empty() ? "" : field + ": ") + message), field(field) {}

  std::string field;
};

}  // namespace poplarmoor
