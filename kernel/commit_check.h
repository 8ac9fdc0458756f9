#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/log_position.h"
#include "kernel/name_table.h"

namespace poplarmoor {

/// What a daemon knows of one member of a group when it checks whether a commit is safe.
struct CommitWitness {
  std::string id;
  bool answered = false;
  LogPosition received;  // Position of the last entry in the member's log.
  // The member has not restarted since a time at which no takeover of the group was in progress.
  // Every takeover that may be in progress has therefore read this member's log after pausing it.
  bool continuous = false;

  /// @returns Whether the member has received the log up to the position. Logs that end in the same
  ///     term agree on all entries that both have.
  bool HasReceived(LogPosition position) const {
    return this->answered && this->received.term == position.term &&
           this->received.index >= position.index;
  }
};

/// A commit that the primary has acknowledged to a daemon, and what the daemon knows of the group.
struct CommitView {
  std::string primary;    // Endpoint that acknowledged the commit.
  LogPosition position;   // End of the primary's log when it acknowledged the commit.
  uint32_t replicas = 1;  // Number of replicas that must have received an acknowledged commit.
  // Endpoints whose promotion was ordered and may still take place, as recorded in the store, each
  // once.
  std::vector<std::string> candidates;
  // The members that the store's record of the group names, except for the primary.
  std::vector<CommitWitness> witnesses;
  // False if the store has no record of the group yet. `witnesses` has all known members then.
  bool has_record = true;
};

/// Whether a commit may be acknowledged to the caller.
enum class CommitVerdict {
  kSafe,        // Every endpoint that may be promoted has the commit or will be compared with it.
  kUnknown,     // More statuses are needed.
  kSuperseded,  // A later term has begun, and its log may lack the commit.
};

inline constexpr NameTable<CommitVerdict, 3> kCommitVerdictNames{{{
    {CommitVerdict::kSafe, "safe"},
    {CommitVerdict::kUnknown, "unknown"},
    {CommitVerdict::kSuperseded, "superseded"},
}}};

/// Decides whether a commit may be acknowledged to the caller. The primary acknowledges a commit
/// once any replica has received it, also one that has just joined and that a takeover in progress
/// does not know. A takeover compares all members that the store's record of the group names, so
/// only these count. While a promotion may take place, its candidate must have the commit.
/// @param view The commit and the latest statuses of the recorded members.
/// @returns The verdict.
CommitVerdict JudgeCommit(const CommitView& view);

}  // namespace poplarmoor
