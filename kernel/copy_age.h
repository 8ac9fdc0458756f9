#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

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
  std::optional<Duration> age;  // Highest possible age of the copy at the answer.
  // Time since the daemon had an answer of the store, directly or through others.
  Duration silence{};
  bool reachable = false;  // Whether the daemon reaches the store, itself or by others.
};

/// Highest possible age of a daemon's copy of the store objects of one kind, and what may be done
/// with the copy. An age of a copy claims that the copy holds every change that the store had
/// acknowledged by then. Only two things prove this: an answer of the store, from the time when the
/// call was sent, and the claim of another daemon about a copy that was merged into this one.
class CopyAge {
 public:
  /// Number of other daemons whose prompt answers show that the store is lost for all. If fewer can
  /// be reached, it is the number of their answers.
  static constexpr size_t kWitnesses = 3;

  /// @param schedule Time limits of the kind.
  /// @param started When this daemon started.
  CopyAge(ChangeSchedule schedule, TimePoint started);

  /// Records an answer of the store that has brought the copy up to date.
  /// @param sent When the call began.
  /// @param now When the answer arrived.
  void NoteStoreAnswer(TimePoint sent, TimePoint now);

  /// Records that a call to the store has failed.
  /// @param sent When the call began.
  void NoteStoreFailure(TimePoint sent);

  /// Records a listing that may be stale. It says nothing about the age of the copy.
  /// @param now When the answer arrived.
  void NoteStaleListing(TimePoint now);

  /// Records the answer of another daemon. To be called after its changes were merged.
  /// @param now When the answer arrived.
  /// @returns Whether this daemon may rely on the other one's copy instead of asking elsewhere.
  bool NotePeerAnswer(const PeerCopy& answer, TimePoint now);

  /// @returns A time until which the copy holds all changes; empty: not known.
  std::optional<TimePoint> Verified() const { return this->verified_at; }

  /// @returns A time from which on the store may have changes that the copy lacks: Verified(), or
  ///     the daemon's start.
  TimePoint UnchangedUntil() const { return this->verified_at.value_or(this->started); }

  /// @returns Time since this daemon had an answer of the store, directly or through others; empty:
  ///     it had none. A late answer shortens the silence, but not the age of the copy.
  std::optional<Duration> Silence(TimePoint now) const;

  /// @returns Highest possible age of the copy; empty: not known.
  std::optional<Duration> Age(TimePoint now) const;

  /// Decides what may be done with the copy. Beyond the bound, the routes of the copy are served
  /// only if the other daemons that this one reaches have no younger copy either, so that the store
  /// is out of reach for all of them. Otherwise the cause is this daemon, for example its full
  /// link.
  /// @param others Number of other daemons that are not known to be out of reach; kWitnesses stands
  ///     for all higher numbers.
  CopyUse Use(TimePoint now, size_t others) const;

  /// @returns Whether other daemons are to be asked for a younger copy.
  bool NeedsYoungerCopy(TimePoint now) const;

  const ChangeSchedule& Schedule() const { return this->limits; }

 private:
  // Answer of another daemon that came promptly. A late one shows that a link is full.
  struct PromptAnswer {
    std::string daemon;
    TimePoint arrived;
    std::optional<TimePoint> verified;
  };

  bool IsStoreLostForAll(TimePoint now, size_t others) const;

  ChangeSchedule limits;
  TimePoint started;
  std::optional<TimePoint> verified_at;
  std::optional<TimePoint> answered_at;       // See Silence().
  std::vector<PromptAnswer> prompt_answers;   // Recent ones.
  std::optional<TimePoint> failed_call_sent;  // Latest call to the store that failed.
  std::optional<TimePoint> late_answer_at;    // Arrival of the latest late answer.
};

}  // namespace poplarmoor
