#include "kernel/takeover_members.h"

#include <algorithm>

#include "kernel/ownership.h"

namespace poplarmoor {

std::set<std::string> MembersToRecord(const std::set<std::string>& recorded,
                                      const std::map<std::string, bool>& known) {
  std::set<std::string> members;
  for (const auto& [id, departed] : known) {
    if (!departed || recorded.contains(id)) {
      members.insert(id);
    }
  }
  return members;
}

size_t RecorderRank(const std::string& service,
                    const std::string& self,
                    const std::vector<std::string>& daemons) {
  const std::string key = service + "/members";
  const uint64_t own_score = RendezvousScore(key, self);
  return static_cast<size_t>(
      std::count_if(daemons.begin(), daemons.end(), [&](const std::string& daemon) {
        return daemon != self && RendezvousScore(key, daemon) > own_score;
      }));
}

}  // namespace poplarmoor
