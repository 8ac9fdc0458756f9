#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kernel/endpoint_record.h"
#include "kernel/gateway_plan.h"
#include "kernel/peer_health.h"
#include "kernel/random.h"
#include "session/endpoint_channel.h"
#include "session/session_codec.h"

namespace poplarmoor {

class PeerNetwork;

/// Types of messages between session daemons.
inline constexpr char kRelayMessage[] = "forward";
inline constexpr char kRelayEndMessage[] = "relay_end";
inline constexpr char kRelayOrderMessage[] = "relay_order";
inline constexpr char kSyncMessage[] = "sync";
inline constexpr char kPingMessage[] = "ping";

/// Relays statements and administrative orders to endpoints through gateways: other session daemons
/// that have connections to them. Tracks which peers are reachable.
class RelayRouter {
 public:
  /// @param self Name of this daemon.
  /// @param failure_domain Failure domain of this daemon.
  RelayRouter(std::string self, std::string failure_domain);

  /// Sets the network; nothing is relayed without one. The network must outlive this object.
  void SetNetwork(PeerNetwork* network) { this->network = network; }

  /// Sets the daemons that share the endpoints' connections, this one included.
  void SetPeers(std::vector<Peer> live);

  /// Pings peers that are silent while calls wait for them, and probes lost peers until they
  /// answer.
  boost::asio::awaitable<void> WatchPeers();

  const GatewayPlan& plan() const { return this->gateways; }

  /// @param endpoint Endpoint to reach.
  /// @param rank Urgency of the statement; 0 is the most urgent.
  /// @param transaction Whether the gateway keeps the connection until the transaction ends.
  /// @returns A channel, which chooses its gateway on first use.
  std::unique_ptr<EndpointChannel> OpenChannel(const EndpointRecord& endpoint,
                                               int rank,
                                               bool transaction);

  /// Sends an administrative order to an endpoint through a gateway.
  /// @throws std::runtime_error when no gateway delivered the endpoint's report.
  boost::asio::awaitable<EndpointReport> SendOrder(const EndpointRecord& endpoint,
                                                   EndpointOrder order,
                                                   uint64_t term,
                                                   Duration limit);

  /// @returns Whether another daemon can be asked to relay.
  bool HasPeers() const { return this->network != nullptr && this->gateways.size() > 1; }

  /// Chooses gateways for an endpoint. In a small fleet every other daemon can be one.
  /// @returns The gateways that are reachable from this daemon and expected to reach the endpoint,
  ///     best first.
  std::vector<Peer> UsableGateways(const EndpointRecord& endpoint);

  PeerHealth& health() { return this->peer_health; }

  /// Records that a peer cannot be reached. The other connected peers are checked soon.
  void NoteLost(const Peer& peer);

  /// Sets how many connections each endpoint of a service accepts.
  void SetConnections(const std::string& service, uint32_t connections);

  PeerNetwork* peers() const { return this->network; }

 private:
  boost::asio::awaitable<void> Check(Peer peer);
  boost::asio::awaitable<bool> Ping(Peer peer, Duration limit);
  boost::asio::awaitable<void> Probe(Peer peer);
  void Spawn(boost::asio::awaitable<void> work, const boost::asio::any_io_executor& executor);

  std::string self;
  GatewayPlan gateways;
  PeerHealth peer_health;
  PeerNetwork* network = nullptr;
  std::set<std::string> checking;  // Addresses of peers with a check in progress.
  TimePoint next_probe_all;        // No check of all peers starts before this time.
  bool probe_all_due = false;
  // Connection limit of each endpoint, by service.
  std::map<std::string, uint32_t> connections_by_service;
  RandomEngine random;
};

}  // namespace poplarmoor
