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

/// Types of the messages between session daemons.
inline constexpr char kRelayMessage[] = "forward";
inline constexpr char kRelayEndMessage[] = "relay_end";
inline constexpr char kRelayOrderMessage[] = "relay_order";
inline constexpr char kSyncMessage[] = "sync";
inline constexpr char kPingMessage[] = "ping";

/// Reaches endpoints through gateways.
class RelayRouter {
 public:
  /// @param self Name of this daemon.
  /// @param failure_domain Of this daemon.
  RelayRouter(std::string self, std::string failure_domain);

  /// Sets the network; without one, nothing is relayed. It must outlive this object.
  void SetNetwork(PeerNetwork* network) { this->network = network; }

  /// Sets the daemons that share the endpoints' connections, this one included.
  void SetPeers(std::vector<Peer> live);

  /// Probes peers that are silent while calls wait for them, and lost ones until they answer.
  boost::asio::awaitable<void> WatchPeers();

  const GatewayPlan& plan() const { return this->gateways; }

  /// @param endpoint Endpoint to reach.
  /// @param rank 0 is the most urgent.
  /// @param transaction Whether the gateway keeps the connection until the transaction ends.
  /// @returns A channel; it chooses its gateway when it is used first.
  std::unique_ptr<EndpointChannel> OpenChannel(const EndpointRecord& endpoint,
                                               int rank,
                                               bool transaction);

  /// Sends an order by way of a gateway.
  /// @throws std::runtime_error.
  boost::asio::awaitable<EndpointReport> Order(const EndpointRecord& endpoint,
                                               EndpointOrder order,
                                               uint64_t term,
                                               Duration limit);

  /// @returns Whether another daemon is known.
  bool HasPeers() const { return this->network != nullptr && this->gateways.size() > 1; }

  /// In a small fleet every other daemon may act as a gateway.
  /// @returns The gateways that this daemon reaches and that are expected to reach the endpoint,
  ///     best first.
  std::vector<Peer> UsableGateways(const EndpointRecord& endpoint);

  PeerHealth& health() { return this->peer_health; }

  /// A peer cannot be reached. The other connected ones are probed soon.
  void NoteLost(const Peer& peer);

  /// Sets how many connections endpoints of a service accept.
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
  std::set<std::string> checking;  // Addresses of peers that are probed.
  TimePoint next_survey;           // No round of probes of all peers before.
  bool survey_due = false;
  std::map<std::string, uint32_t> by_service;  // Connections.
  RandomEngine random;
};

}  // namespace poplarmoor
