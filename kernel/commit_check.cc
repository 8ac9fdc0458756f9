#include "kernel/commit_check.h"

#include <algorithm>

namespace poplarmoor {

CommitVerdict JudgeCommit(const CommitView& view) {
  const auto is_candidate = [&view](const std::string& id) {
    return std::find(view.candidates.begin(), view.candidates.end(), id) != view.candidates.end();
  };
  uint32_t received = 0;
  uint32_t counted = 0;
  size_t candidates_with_commit = 0;
  for (const CommitWitness& witness : view.witnesses) {
    if (witness.answered && witness.received.term > view.position.term) {
      return CommitVerdict::kSuperseded;
    }
    if (!witness.HasReceived(view.position)) {
      continue;
    }
    const bool candidate = is_candidate(witness.id);
    ++received;
    counted += candidate || witness.continuous ? 1 : 0;
    candidates_with_commit += candidate ? 1 : 0;
  }
  if (candidates_with_commit < view.candidates.size()) {
    return CommitVerdict::kUnknown;
  }
  // A member that may have restarted may no longer be paused by a takeover that has read its log
  // earlier. At least one of the members that such a takeover compares has not restarted.
  const bool all_received = received == view.witnesses.size();
  return counted >= view.replicas || (all_received && received >= view.replicas)
             ? CommitVerdict::kSafe
             : CommitVerdict::kUnknown;
}

std::vector<std::string> PendingCandidates(const std::vector<std::string>& ordered,
                                           const std::string& primary) {
  const auto leads = std::find(ordered.begin(), ordered.end(), primary);
  std::vector<std::string> pending(leads == ordered.end() ? ordered.begin() : leads + 1,
                                   ordered.end());
  pending.erase(std::remove(pending.begin(), pending.end(), primary), pending.end());
  std::sort(pending.begin(), pending.end());
  pending.erase(std::unique(pending.begin(), pending.end()), pending.end());
  return pending;
}

}  // namespace poplarmoor
