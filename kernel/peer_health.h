#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kernel/gateway_plan.h"
#include "kernel/random.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Which other daemons this daemon reaches, as far as calls and probes have shown. Statements go
/// around lost daemons instead of waiting for them. When several daemons of another failure domain
/// are lost and none has answered for a while, the whole domain counts as cut off.
class PeerHealth {
 public:
  /// @param own_domain Failure domain of this daemon; it never counts as cut off.
  explicit PeerHealth(std::string own_domain) : own_domain(std::move(own_domain)) {}

  /// A call or probe of the peer got no answer.
  void NoteFailure(const Peer& peer, TimePoint now);

  /// The peer answered, which also shows that its failure domain is not cut off.
  void NoteAnswer(const Peer& peer, TimePoint now);

  /// The peer answered that it does not reach an endpoint.
  void NoteUnreached(const std::string& endpoint, const Peer& peer, TimePoint now);

  /// @returns Whether a statement should not be sent to the peer.
  bool IsLost(const Peer& peer) const;

  /// @returns Whether the peer lately did not reach the endpoint.
  bool IsUnreached(const std::string& endpoint, const Peer& peer, TimePoint now) const;

  /// @returns Whether any peer is lost.
  bool HasLost() const { return !this->lost.empty(); }

  /// @param random Generator.
  /// @returns Lost peers to probe now, and some daemons of each domain that is cut off, lost or
  ///     not; their next probes are postponed.
  std::vector<Peer> TakeDueProbes(TimePoint now, RandomEngine* random);

  /// Sets the daemons of the fleet and forgets those that are gone.
  void SetPeers(std::vector<Peer> live);

 private:
  struct LostPeer {
    Peer peer;
    TimePoint next_probe;
    Duration interval{};  // Between its probes.
  };

  size_t LostIn(const std::string& failure_domain) const;

  std::string own_domain;
  std::vector<Peer> live_peers;
  std::map<std::string, TimePoint> cut;           // By failure domain: next probe.
  std::map<std::string, TimePoint> last_answers;  // By failure domain.
  std::map<std::string, LostPeer> lost;           // By address.
  std::map<std::pair<std::string, std::string>, TimePoint>
      unreached;  // By endpoint and address: until when.
};

}  // namespace poplarmoor
