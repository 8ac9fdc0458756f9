#pragma once

#include <stdexcept>
#include <string>

#include "cli/exit_code.h"

namespace poplarmoor {

/// Ends a command with a message for the operator.
class CommandError : public std::runtime_error {
 public:
  /// @param code Exit code of the program.
  /// @param message One plain sentence, without secrets.
  CommandError(ExitCode code, const std::string& message)
      : std::runtime_error(message), code(code) {}

  ExitCode code;
};

}  // namespace poplarmoor
