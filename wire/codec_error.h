#pragma once

#include <stdexcept>
#include <string>

namespace poplarmoor {

/// Thrown when a message does not have the form that its protocol requires.
class CodecError : public std::runtime_error {
 public:
  /// @param field Name of the invalid field; empty when the whole message is malformed.
  /// @param message What is wrong with the field or the message.
  CodecError(const std::string& field, const std::string& message)
      : std::runtime_error((field.empty() ? "" : field + ": ") + message), field(field) {}

  std::string field;
};

}  // namespace poplarmoor
