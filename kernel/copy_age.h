#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "kernel/change_schedule.h"
#include "kernel/name_table.h"
#include "kernel/time.h"

namespace poplarmoor {

/// What a daemon may do with its copy of the configuration.
enum class CopyUse {
  kAll,          // Serve the routes of the copy, and refuse other databases as unknown.
  kKnownRoutes,  // Serve the routes of the copy; another database may have been added since.
  kNothing,      // Refuse: routes may have been changed or removed longer ago than the bound.
};

inline constexpr NameTable<CopyUse, 3> kCopyUseNames{{{
    {CopyUse::kAll, "all"},
    {CopyUse::kKnownRoutes, "known_routes"},
    {CopyUse::kNothing, "nothing"},
}}};

/// What another daemon has answered about its copy of the objects of a kind.
struct PeerCopy {
  std::string daemon;
  TimePoint sent;               // When the request was sent.
  Duration held{};              // How long the daemon waited before it answered.
  Duration confirmed_age{};     // Time since an answer of the store arrived; see SyncAnswer.
  std::optional<Duration> age;  // Highest possible age of the copy at the answer.
  bool reachable = false;       // Whether the daemon reaches the store, itself or by others.
};

/// Age of a daemon's copy of the store objects of one kind, and what follows from it.
class CopyAge {
 public:
  /// @param schedule Time limits of the kind.
  explicit CopyAge(ChangeSchedule schedule);

  /// Records an answer of the store that has brought the copy up to date.
  /// @param sent When the call began.
  /// @param now When the answer was merged.
  void NoteStoreAnswer(TimePoint sent, TimePoint now);

  /// Records a listing that may be some seconds old.
  void NoteStaleListing(TimePoint now);

  /// Records the answer of another daemon. To be called after its changes were merged.
  /// @returns Whether this daemon may rely on the other one's copy instead of asking elsewhere.
  bool NotePeerAnswer(const PeerCopy& answer, TimePoint now);

  /// @returns Age of the copy; empty: not known.
  std::optional<Duration> Age(TimePoint now) const;

  /// @param others Number of other daemons that are known.
  CopyUse Use(TimePoint now, size_t others) const;

  /// @returns Whether other daemons are to be asked for a younger copy.
  bool NeedsYoungerCopy(TimePoint now) const;

  const ChangeSchedule& schedule() const { return this->limits; }

 private:
  ChangeSchedule limits;
  std::optional<TimePoint> confirmed;
};

}  // namespace poplarmoor
