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

/// Writes changes of configuration to the platform. Every change carries the id of this writer, so
/// that a change whose answer was lost is recognised when it is read back.
class ConfigWriter {
 public:
  using Sleep = std::function<void(std::chrono::milliseconds)>;

  /// @param platform Platform; must outlive the writer.
  /// @param change_id Unique id of this run.
  /// @param sleep Waits between attempts.
  ConfigWriter(PlatformSession* platform, std::string change_id, Sleep sleep);

  /// Writes one change. Repeats it after lost answers, outages and rate limits, which is safe
  /// because the update is conditional.
  /// @param change The change.
  /// @returns The stored object's version and revision.
  /// @throws CommandError with kConflict, which names the version that came first, or
  ///     kUnreachable, which says whether the change may have taken effect.
  PlatformObject Write(const UnitChange& change);

  /// @returns Whether a change has been recognised by reading it back.
  bool HasReadBack() const { return this->has_read_back; }

 private:
  // Decides by the object's content whether the change took effect.
  bool IsOwn(const UnitChange& change, const std::string& value) const;
  [[noreturn]] void ThrowConflict(const UnitChange& change,
                                  const PlatformObject& current,
                                  bool may_have_taken_effect) const;

  PlatformSession* platform;
  std::string change_id;
  Sleep sleep;
  bool has_read_back = false;
};

}  // namespace poplarmoor
