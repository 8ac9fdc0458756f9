#include "net/outgoing_peer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace poplarmoor {

bool OutgoingPeer::IsUnresponsiveSince(TimePoint since) {
  std::lock_guard lock(this->mutex);
  const bool waits =
      std::any_of(this->calls.begin(), this->calls.end(), [since](const auto& entry) {
        return entry.second.kind != PeerCallKind::kLongPoll && entry.second.started < since;
      });
  return waits && this->connection->last_received() < since;
}

void OutgoingPeer::FailRetryableCalls() {
  std::vector<Call> ended;
  bool done = false;
  {
    std::lock_guard lock(this->mutex);
    for (auto call = this->calls.begin(); call != this->calls.end();) {
      const bool unsent = call->second.kind == PeerCallKind::kNonRepeatable && !call->second.sent;
      if (call->second.kind == PeerCallKind::kRepeatable || unsent) {
        ended.push_back(std::move(call->second));
        call = this->calls.erase(call);
      } else {
        ++call;
      }
    }
    this->draining = true;
    done = this->ShouldClose();
  }
  for (const Call& call : ended) {
    call.promise->Set({{}, "peer " + this->address + " does not answer", call.sent});
  }
  if (done) {
    this->connection->Close();
  }
}

bool OutgoingPeer::ShouldClose() const {
  return this->draining &&
         std::all_of(this->calls.begin(), this->calls.end(), [](const auto& entry) {
           return entry.second.kind == PeerCallKind::kLongPoll;
         });
}

}  // namespace poplarmoor
