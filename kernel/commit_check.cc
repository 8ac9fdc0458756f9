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
  // earlier. Of several members, at least one has not restarted since.
  const bool all_received = received == view.witnesses.size() && received >= view.replicas &&
                            (received > 1 || !view.has_record);
  return (counted >= view.replicas && view.has_record) || all_received ? CommitVerdict::kSafe
                                                                       : CommitVerdict::kUnknown;
}

}  // namespace poplarmoor
