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
  bool sent = false;  // For an error: whether the call may have reached the peer.
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
  bool draining = false;  // Removed from the cache; closed after its last call.
  TimePoint last_used;

  /// @param limit Start of the interval that is checked.
  /// @returns Whether a call was waiting at `limit` and nothing has arrived from the peer since.
  ///     Long polls are ignored, because the peer may answer them late.
  bool IsUnresponsiveSince(TimePoint limit);

  /// Fails the calls that are repeatable or were not sent, and closes the connection after the
  /// remaining ones. Call after removing this connection from PeerNetwork's cache.
  void FailRetryableCalls();
};

}  // namespace poplarmoor
