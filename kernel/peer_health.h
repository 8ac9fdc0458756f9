#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kernel/placement/gateway_plan.h"
#include "kernel/random.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Tracks which other daemons (peers) this daemon reaches, from the outcomes of calls and probes. A
/// peer that did not answer counts as lost until its next answer. Statements are routed around lost
/// peers instead of waiting for them. When at least three peers of another failure domain are lost
/// and no daemon of that domain has answered recently, the whole domain counts as partitioned.
class PeerHealth {
 public:
  /// @param own_domain Failure domain of this daemon; it never counts as partitioned.
  explicit PeerHealth(std::string own_domain) : own_domain(std::move(own_domain)) {}

  /// Records that a call or probe of the peer got no answer; the peer then counts as lost.
  void NoteFailure(const Peer& peer, TimePoint now);

  /// Records that the peer answered, which also ends a partition of its failure domain.
  void NoteAnswer(const Peer& peer, TimePoint now);

  /// Records that the peer answered that it cannot reach an endpoint.
  void NoteUnreachable(const std::string& endpoint, const Peer& peer, TimePoint now);

  /// @returns Whether no statement should be sent to the peer: it has not answered since a call or
  ///     probe of it failed, or its failure domain counts as partitioned.
  bool IsLost(const Peer& peer) const;

  /// @returns Whether the peer recently could not reach the endpoint.
  bool IsUnreachable(const std::string& endpoint, const Peer& peer, TimePoint now) const;

  /// @returns Whether any peer counts as lost (has not answered since a call or probe failed).
  bool HasLost() const { return !this->lost.empty(); }

  /// Takes the probes that are due now and schedules the next ones.
  /// @param random Random number generator.
  /// @returns Peers to probe: lost ones, and a few daemons of each partitioned domain, whether lost
  ///     or not.
  std::vector<Peer> TakeDueProbes(TimePoint now, RandomEngine* random);

  /// Sets the live daemons of the fleet and forgets lost peers that are not among them.
  void SetPeers(std::vector<Peer> live);

 private:
  struct LostPeer {
    Peer peer;
    TimePoint next_probe;
    Duration interval{};  // Time between two probes of this peer.
  };

  size_t CountLostIn(const std::string& failure_domain) const;

  std::string own_domain;
  std::vector<Peer> live_peers;
  // Partitioned failure domains, each with the time of the next probes of its daemons.
  std::map<std::string, TimePoint> partitioned_domains;
  // Time of the last answer from any daemon, by failure domain.
  std::map<std::string, TimePoint> last_answers;
  std::map<std::string, LostPeer> lost;  // Lost peers by address.
  // When the peer may be used for the endpoint again, by endpoint and peer address.
  std::map<std::pair<std::string, std::string>, TimePoint> unreachable_until;
};

}  // namespace poplarmoor
