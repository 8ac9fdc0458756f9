#pragma once

namespace poplarmoor {

/// Exit code of the program poplarmoor.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,       // The request was refused, or only a part of it succeeded.
  kInvalid = 2,      // Wrong usage, or invalid files.
  kConflict = 3,     // Another operator changed the configuration before this command.
  kUnreachable = 4,  // The platform or all daemons are unreachable.
};

}  // namespace poplarmoor
