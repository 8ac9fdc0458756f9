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
  std::string error;  // Why the call failed; empty when there is an answer.
  bool sent = false;  // Despite the name, whether the failed call may have run at the peer.
  bool connection_refused = false;  // The peer's system refused the connection.
};

using CallPromise = OneShotPromise<CallOutcome>;

/// Connection that this daemon opened to a peer, with its unanswered calls.
struct OutgoingPeer {
  struct Call {
    std::shared_ptr<CallPromise> promise;
    // The encoded call while it waits for the connection to open; empty once it is open.
    std::string frame;
    bool sent = false;  // Whether the call was queued for sending on the open connection.
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
  // Whether the connection was removed from PeerNetwork's cache, so that it gets no new calls. The
  // connection is closed when its last unanswered call other than a long poll ends.
  bool draining = false;
  TimePoint last_used;  // Time at which the latest call started.

  /// @param since Start of the interval that is checked; the interval ends now.
  /// @returns Whether no byte has arrived from the peer in the interval although a call that was
  ///     started before the interval is unanswered. Long polls do not count, because the peer may
  ///     wait long before it answers them.
  bool IsUnresponsiveSince(TimePoint since);

  /// Ends all repeatable calls and all unsent non-repeatable calls with an error. The sent
  /// non-repeatable calls continue; when the last of them ends, the connection is closed, and long
  /// polls end with an error. Remove the connection from PeerNetwork's cache before calling this.
  void FailRetryableCalls();

  /// @returns Whether the connection is to be closed now: it is draining, and only long polls are
  ///     unanswered. Left open by them, it would run calls that were given up at the peer once a
  ///     partition has healed. The caller holds `mutex`.
  bool ShouldClose() const;
};

}  // namespace poplarmoor
