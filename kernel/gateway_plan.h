#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace poplarmoor {

/// Another daemon.
struct Peer {
  std::string daemon;
  std::string address;  // "IP:port" of its peer listener.
  std::string failure_domain;
};

/// Decides which daemons connect to an endpoint. A small fleet shares the endpoint's connections.
/// In a large one each daemon would have less than a connection or two, so that a few gateways,
/// chosen by rendezvous hashing, hold them and relay the statements of the others.
class GatewayPlan {
 public:
  /// @param self Name of this daemon.
  explicit GatewayPlan(std::string self);

  /// @param live All live daemons; this one is added when it is missing.
  void SetPeers(std::vector<Peer> live);

  /// @returns Live daemons, this one included.
  size_t size() const { return this->live_peers.size(); }

  const std::vector<Peer>& Peers() const { return this->live_peers; }

  /// @param endpoint Id of an endpoint.
  /// @param failure_domain Where it runs.
  /// @param connections Connections that the endpoint accepts from all daemons together.
  /// @returns Whether this daemon connects to it.
  bool IsGateway(const std::string& endpoint,
                 const std::string& failure_domain,
                 uint32_t connections) const;

  /// @returns All other daemons in this daemon's order of preference, those of the endpoint's
  ///     failure domain first.
  std::vector<Peer> Others(const std::string& endpoint, const std::string& failure_domain) const;

  /// @returns Whether the fleet is so small that each daemon watches the store.
  bool EveryoneWatches() const;

  /// @returns Whether this daemon watches the store itself. In a large fleet a few daemons of each
  ///     failure domain do, because the store's call rate grows more slowly than the fleet.
  bool IsWatcher() const;

  /// @returns The daemons of this daemon's failure domain that watch the store.
  std::vector<Peer> Watchers() const;

  /// @returns Connections of one gateway.
  uint32_t ShareOf(uint32_t connections) const;

  /// @param usable Whether this daemon reaches a peer. While hardly any gateway is usable, the next
  ///     daemons in rendezvous order take their place.
  /// @returns The endpoint's usable gateways in this daemon's order of preference; empty when every
  ///     daemon connects for itself.
  std::vector<Peer> GatewaysOf(const std::string& endpoint,
                               const std::string& failure_domain,
                               uint32_t connections,
                               const std::function<bool(const Peer&)>& usable) const;

  /// @param connections Connections that an endpoint accepts from all daemons together.
  /// @returns Whether each daemon has connections of its own.
  bool EveryoneConnects(uint32_t connections) const;

 private:
  std::vector<const Peer*> Chosen(const std::string& endpoint,
                                  const std::string& failure_domain,
                                  uint32_t connections) const;
  std::vector<const Peer*> Substitutes(const std::string& endpoint,
                                       const std::string& failure_domain,
                                       const std::vector<const Peer*>& chosen,
                                       const std::function<bool(const Peer&)>& usable) const;

  std::string self;
  std::vector<Peer> live_peers;
};

}  // namespace poplarmoor
