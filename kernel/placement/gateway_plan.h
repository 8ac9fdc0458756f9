#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "kernel/placement/region_map.h"

namespace poplarmoor {

/// Name, address, failure domain and capacity of a daemon.
struct Peer {
  std::string daemon;
  std::string address;  // Address of the daemon's peer listener, "IP:port".
  std::string failure_domain;
  // Processor share of the daemon, in cores; 0: unknown.
  double capacity = 0;
};

/// Decides which daemons connect to an endpoint. If the endpoint accepts at least 1.5 connections
/// per live daemon, every daemon opens an equal number of connections to the endpoint. In a
/// larger fleet, a daemon would have one connection at most, and an open transaction would block
/// the daemon's other statements. Then only the gateways, a few daemons selected by rendezvous
/// hashing, connect to the endpoint; they relay the statements of the other daemons.
///
/// In a deployment with organisations, each endpoint has two gateways whatever the number of its
/// connections. They are chosen among the daemons with at least half of the largest capacity in
/// the endpoint's failure domain, and an organisation's statements prefer the same one at every
/// daemon: each connection belongs to one organisation, so that with more gateways each
/// organisation would need more connections.
class GatewayPlan {
 public:
  /// @param self Name of this daemon.
  explicit GatewayPlan(std::string self);

  /// @param live All live daemons; this daemon is added if it is missing.
  void SetPeers(std::vector<Peer> live);

  /// Sets whether the deployment has organisations.
  void SetOrganisations(bool organisations) { this->by_organisation = organisations; }

  /// @returns Whether the deployment has organisations.
  bool HasOrganisations() const { return this->by_organisation; }

  /// @returns Number of live daemons, including this one.
  size_t size() const { return this->live_peers.size(); }

  const std::vector<Peer>& Peers() const { return this->live_peers; }

  /// @returns Number of calls of SetPeers() so far. What was derived from Peers() stays valid while
  ///     this number stays the same.
  uint64_t Generation() const { return this->generation; }

  /// @param endpoint Id of an endpoint.
  /// @param failure_domain Failure domain of the endpoint.
  /// @param connections Connections that the endpoint accepts from all daemons together.
  /// @returns Whether this daemon opens connections to the endpoint: in a small fleet always, in a
  ///     large one if it is a gateway of the endpoint.
  bool IsGateway(const std::string& endpoint,
                 const std::string& failure_domain,
                 uint32_t connections) const;

  /// @returns All other daemons: first those in the endpoint's failure domain, then the rest.
  ///     Both parts are sorted by descending rendezvous score for the endpoint and this daemon.
  std::vector<Peer> OtherDaemons(const std::string& endpoint,
                                 const std::string& failure_domain) const;

  /// @returns Whether the fleet is small enough for every daemon to watch the object store.
  bool EveryDaemonWatches() const;

  /// @returns Whether this daemon watches the object store itself. In a large fleet only a few
  ///     daemons of each failure domain watch it, because the call rate that the store accepts
  ///     grows more slowly than the fleet.
  bool IsWatcher() const;

  /// @returns The daemons in this daemon's failure domain that watch the object store when the
  ///     fleet is too large for every daemon to watch it.
  std::vector<Peer> Watchers() const;

  /// Sets whether only the first reachable watcher of each failure domain watches the object store
  /// in a large fleet. The others then follow it, like all daemons, and watch the store themselves
  /// only when it fails.
  void SetStandbyWatchers(bool standby) { this->standby_watchers = standby; }
  bool HasStandbyWatchers() const { return this->standby_watchers; }

  /// @returns The daemons that this daemon asks for changes of the object store before it turns to
  ///     the store itself, in the order in which they are asked; empty if it watches the store.
  std::vector<Peer> WatchersToFollow() const;

  /// @returns The watchers of a failure domain, in the order in which they are asked.
  std::vector<Peer> WatchersOf(const std::string& failure_domain) const;

  /// @param usable Tells whether a daemon can be reached; this daemon always counts as usable.
  /// @returns The watcher that reads the log positions of the primaries of a failure domain for the
  ///     whole fleet: the domain's first usable one, or nothing when there is none.
  std::optional<Peer> LeadWatcher(const std::string& failure_domain,
                                  const std::function<bool(const Peer&)>& usable) const;

  /// @param services Number of services of the deployment.
  /// @returns Whether daemons tell each other the log positions of the primaries. With many
  /// services
  ///     the positions cost more than they save: each answer of a watcher has all of them.
  static bool SpreadsPositions(size_t services);

  /// @param regions Regions of the failure domains.
  /// @param usable Tells whether a daemon can be reached.
  /// @returns The daemons from which a watcher reads the log positions of all primaries: the lead
  ///     watcher of each failure domain in its region, without this daemon. One watcher of each
  ///     region also reads from one of each other region, so that the traffic between regions does
  ///     not grow with the number of watchers.
  std::vector<Peer> EvidenceSources(const RegionMap& regions,
                                    const std::function<bool(const Peer&)>& usable) const;

  /// @returns Name of this daemon.
  const std::string& Self() const { return this->self; }

  /// @returns Failure domain of this daemon; empty until its entry is known.
  std::string OwnDomain() const;

  /// @param connections Connections that an endpoint accepts from all daemons together.
  /// @returns Number of connections that each connecting daemon (any daemon in a small fleet, a
  ///     gateway in a large one) may open to the endpoint, at least 1.
  uint32_t ConnectionShare(uint32_t connections) const;

  /// @param usable Returns whether this daemon can reach a peer. While fewer than two gateways are
  ///     usable, other usable daemons of the endpoint's failure domain replace the unusable ones,
  ///     in rendezvous order.
  /// @param preference Key by which the gateways are sorted; empty: name of this daemon. With
  ///     organisations, substitutes come after the endpoint's own gateways.
  /// @returns The endpoint's usable gateways in the order of preference; empty when none is usable,
  ///     or when every daemon has its own connections to the endpoint.
  std::vector<Peer> GatewaysOf(const std::string& endpoint,
                               const std::string& failure_domain,
                               uint32_t connections,
                               const std::function<bool(const Peer&)>& usable,
                               const std::string& preference = {}) const;

  /// @param usable Returns whether this daemon can reach a peer.
  /// @returns Whether this daemon is the only usable one of the gateways that are planned for the
  ///     endpoint.
  bool IsLastGateway(const std::string& endpoint,
                     const std::string& failure_domain,
                     uint32_t connections,
                     const std::function<bool(const Peer&)>& usable) const;

  /// @param connections Connections that an endpoint accepts from all daemons together.
  /// @returns Whether every daemon has its own connections to the endpoint, without gateways.
  bool EveryDaemonConnects(uint32_t connections) const;

 private:
  std::vector<const Peer*> SelectGateways(const std::string& endpoint,
                                          const std::string& failure_domain,
                                          uint32_t connections) const;
  std::vector<const Peer*> SelectSubstitutes(const std::string& endpoint,
                                             const std::string& failure_domain,
                                             const std::vector<const Peer*>& selected_gateways,
                                             const std::function<bool(const Peer&)>& usable) const;

  uint32_t GatewayCount(uint32_t connections) const;

  std::string self;
  bool by_organisation = false;
  std::vector<Peer> live_peers;
  bool standby_watchers = false;
  uint64_t generation = 0;
};

}  // namespace poplarmoor
