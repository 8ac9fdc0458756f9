#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace poplarmoor {

class PlatformError;
class PlatformSession;
struct PlatformObject;
struct UnitChange;

/// Writes configuration changes to the platform. Stores the writer's change id in every
/// configuration unit that it writes. When the platform's answer is lost, the writer reads the unit
/// and recognises its own change by the id.
class ConfigWriter {
 public:
  using Sleep = std::function<void(std::chrono::milliseconds)>;

  /// @param platform Session with the platform; must outlive the writer.
  /// @param change_id Unique id of this run of the command line.
  /// @param sleep Function that waits between attempts.
  ConfigWriter(PlatformSession* platform, std::string change_id, Sleep sleep);

  /// Writes one change. Retries it after lost answers, outages and rate limits. A retry is safe,
  /// because the platform stores a change only if the object still has the version
  /// `change.if_version`.
  /// @param change Change to write.
  /// @returns The stored object's version and revision.
  /// @throws CommandError with kConflict when another operator changed the object first, with
  ///     kUnreachable when all attempts failed, or with kInvalid when the object is too large. For
  ///     kConflict, the message names the object's version. For kUnreachable, it says whether the
  ///     change may have taken effect.
  PlatformObject Write(const UnitChange& change);

  /// @returns True if the platform stored a change but its answer was lost, and the writer
  /// recognised the change when it read the object back.
  bool HasRecoveredLostAnswer() const { return this->recovered_lost_answer; }

 private:
  // Returns whether a stored value was written by this writer for the given change.
  bool IsOwnChange(const UnitChange& change, const std::string& value) const;
  [[noreturn]] void ThrowConflict(const UnitChange& change,
                                  const PlatformObject& current,
                                  bool may_have_taken_effect) const;

  PlatformSession* platform;
  std::string change_id;
  Sleep sleep;
  bool recovered_lost_answer = false;
};

}  // namespace poplarmoor
