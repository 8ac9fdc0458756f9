#pragma once

#include <memory>
#include <string_view>

#include "kernel/copy_age.h"

namespace poplarmoor {

class Metrics;
class RelayRouter;

/// Decides whether this daemon may still use its copy of the configuration. Not thread-safe; use it
/// on the I/O thread only.
class ConfigurationGuard {
 public:
  /// @param router Knows which other daemons are in reach; must outlive this object.
  explicit ConfigurationGuard(RelayRouter* router) : router(router) {}

  /// @param age Age of the copy. Until this call the copy may be used without limit.
  void SetAge(std::shared_ptr<const CopyAge> age) { this->age = std::move(age); }

  /// @param metrics Counts refusals; must outlive this object.
  void SetMetrics(Metrics* metrics) { this->metrics = metrics; }

  /// @returns What may be done with the copy now.
  CopyUse Use() const;

  /// Counts a session or statement that is refused because the copy is too old.
  /// @param subject What is refused: "session" or "statement".
  void NoteRefusal(std::string_view subject) const;

  /// Logs each change of Use(). To be called regularly.
  /// @param version Version of the configuration in force.
  void Observe(uint64_t version);

 private:
  // Number of other daemons that are not known to be lost; counted up to CopyAge::kWitnesses.
  size_t ReachablePeers() const;

  RelayRouter* router;
  Metrics* metrics = nullptr;
  std::shared_ptr<const CopyAge> age;
  CopyUse observed = CopyUse::kAll;
};

}  // namespace poplarmoor
