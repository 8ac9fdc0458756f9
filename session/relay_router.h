#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/endpoint_record.h"
#include "kernel/gateway_plan.h"
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

/// Reaches endpoints through gateways.
class RelayRouter {
 public:
  /// @param self Name of this daemon.
  explicit RelayRouter(std::string self);

  /// Sets the network; without one, nothing is relayed. It must outlive this object.
  void SetNetwork(PeerNetwork* network) { this->network = network; }

  GatewayPlan& plan() { return this->gateways; }
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
  /// @returns The endpoint's gateways that have not failed lately, best first; none when several
  ///     have, so that a cut failure domain costs no waiting time.
  std::vector<Peer> UsableGateways(const EndpointRecord& endpoint);

  /// Other gateways go first for a while.
  void NoteFailure(const std::string& address);

  /// Sets how many connections endpoints of a service accept.
  void SetConnections(const std::string& service, uint32_t connections);

  PeerNetwork* peers() const { return this->network; }

 private:
  GatewayPlan gateways;
  PeerNetwork* network = nullptr;
  std::map<std::string, TimePoint> next_trial;  // By endpoint, while its gateways fail.
  std::map<std::string, TimePoint> failed;      // By address.
  std::map<std::string, uint32_t> by_service;   // Connections.
  RandomEngine random;
};

}  // namespace poplarmoor
