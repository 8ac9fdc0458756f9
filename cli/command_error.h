#pragma once

#include <stdexcept>
#include <string>

#include "cli/exit_code.h"

namespace poplarmoor {

/// Error that ends a command with an exit code and a message for the operator.
class CommandError : public std::runtime_error {
 public:
  /// @param code Exit code of the program.
  /// @param message One sentence for the operator, without secrets.
  CommandError(ExitCode code, const std::string& message)
      : std::runtime_error(message), code(code) {}

  ExitCode code;
};

}  // namespace poplarmoor
