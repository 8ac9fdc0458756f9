#pragma once

namespace poplarmoor {

/// Exit code of the program poplarmoor.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,   // The request was refused, or only a part of it succeeded.
  kInvalid = 2,  // Wrong usage, or invalid files.
  // Another operator has changed the configuration since this command or an earlier `diff` read it.
  kConflict = 3,
  kUnreachable = 4,  // The platform is unreachable, or no daemon is reachable.
};

}  // namespace poplarmoor
