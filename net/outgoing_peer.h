#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "kernel/time.h"
#include "net/one_shot.h"
#include "net/peer_connection.h"
#include "net/peer_network.h"

namespace poplarmoor {

/// Outcome of one call.
struct CallOutcome {
  PeerMessage answer;
  std::string error;  // Empty when there is an answer.
  bool sent = false;  // With an error: whether the call may have reached the peer.
};

using CallSlot = OneShot<CallOutcome>;

/// Connection that this daemon opened, with the calls that wait for answers.
struct OutgoingPeer {
  struct Call {
    std::shared_ptr<CallSlot> slot;
    std::string frame;  // Until the connection is open.
    bool sent = false;
    TimePoint started;
    PeerCallKind kind = PeerCallKind::kOnce;
  };

  std::string address;
  std::shared_ptr<PeerConnection> connection;
  std::mutex mutex;
  std::map<uint64_t, Call> calls;
  uint64_t next_id = 1;
  bool open = false;
  bool closed = false;
  bool retired = false;  // Out of the cache; closed after its last call.
  TimePoint last_used;

  /// @returns Whether a call has waited since before a time and nothing has arrived since then.
  ///     Calls that may wait long do not count.
  bool IsSilentSince(TimePoint limit);

  /// Ends the calls that are repeatable or were not sent, and retires the connection. It must be
  /// out of the cache.
  void EndSilentCalls();
};

}  // namespace poplarmoor
