#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "kernel/time.h"
#include "net/one_shot_promise.h"
#include "net/peer_connection.h"
#include "net/peer_network.h"

namespace poplarmoor {

/// Outcome of one call to a peer.
struct CallOutcome {
  PeerMessage answer;
  std::string error;  // Empty when there is an answer.
  bool sent = false;  // For an error: whether the call may have run at the peer.
};

using CallPromise = OneShotPromise<CallOutcome>;

/// Connection that this daemon opened to a peer, with its unanswered calls.
struct OutgoingPeer {
  struct Call {
    std::shared_ptr<CallPromise> promise;
    std::string frame;  // Encoded call; empty once the connection is open.
    bool sent = false;
    TimePoint started;
    PeerCallKind kind = PeerCallKind::kNonRepeatable;
  };

  std::string address;
  std::shared_ptr<PeerConnection> connection;
  std::mutex mutex;
  std::map<uint64_t, Call> calls;
  uint64_t next_id = 1;
  bool open = false;
  bool closed = false;
  bool draining = false;  // Removed from PeerNetwork's cache; closed after its last call.
  TimePoint last_used;    // Time at which the latest call started.

  /// @param since Start of the interval that is checked.
  /// @returns Whether a call that started before `since` has no answer yet and nothing has arrived
  ///     from the peer after `since`. Long polls are ignored: the peer may answer them late.
  bool IsUnresponsiveSince(TimePoint since);

  /// Fails all repeatable calls, and the non-repeatable calls that were not sent yet. Closes the
  /// connection after the last of the other calls. Call after removing this connection from
  /// PeerNetwork's cache.
  void FailRetryableCalls();
};

}  // namespace poplarmoor
