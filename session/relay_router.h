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
#include "kernel/peer_health.h"
#include "kernel/placement/gateway_plan.h"
#include "kernel/random.h"
#include "session/endpoint_channel.h"
#include "session/session_codec.h"

namespace poplarmoor {

class PeerNetwork;

// Types of the messages between session daemons.

/// Type of the message that asks a gateway to run a statement at an endpoint.
inline constexpr char kRelayMessage[] = "forward";
/// Type of the message that asks a gateway to roll back a transaction that it has open at an
/// endpoint for the sender.
inline constexpr char kRelayEndMessage[] = "relay_end";
/// Type of the message that asks a gateway to send an endpoint an administrative command, such as
/// the command to pause replication.
inline constexpr char kRelayOrderMessage[] = "relay_order";
/// Type of the message that asks a daemon for the changes of objects of the object store since a
/// given revision.
inline constexpr char kSyncMessage[] = "sync";
inline constexpr char kEvidenceMessage[] = "evidence";
/// Type of the message that asks a daemon for an answer, which shows that the daemon is reachable.
inline constexpr char kPingMessage[] = "ping";

/// Relays statements and administrative orders to endpoints through gateways, which are session
/// daemons that have connections to the endpoints. Tracks which other daemons are reachable.
class RelayRouter {
 public:
  /// @param self Name of this daemon.
  /// @param failure_domain Failure domain of this daemon.
  RelayRouter(std::string self, std::string failure_domain);

  /// @returns Id of this process's clock, by which a gateway tells it from the clocks of the
  ///     daemon's earlier processes.
  uint64_t clock() const { return this->clock_id; }

  /// Sets the network over which the daemons call each other. Without a network nothing is relayed.
  /// The network must outlive this object.
  void SetNetwork(PeerNetwork* network) { this->network = network; }

  /// Sets the list of running daemons, this one included. The number of connections that an
  /// endpoint accepts is divided among these daemons.
  void SetPeers(std::vector<Peer> live);

  /// Runs forever. Pings peers that leave calls unanswered. Peers recorded as unreachable are
  /// pinged at intervals until they answer. SetNetwork() must be called first.
  boost::asio::awaitable<void> WatchPeers();

  /// See GatewayPlan::SetStandbyWatchers().
  void SetStandbyWatchers(bool standby) { this->gateways.SetStandbyWatchers(standby); }

  const GatewayPlan& plan() const { return this->gateways; }

  /// @param endpoint Endpoint to reach.
  /// @param rank Urgency of the statement; 0 is the most urgent.
  /// @param transaction Whether the gateway keeps the connection until the transaction ends.
  /// @param reaches_endpoint Whether this daemon itself may send statements to the endpoint.
  /// @returns A channel. It chooses its gateway when it is used for the first time.
  std::unique_ptr<EndpointChannel> OpenChannel(const EndpointRecord& endpoint,
                                               int rank,
                                               bool transaction,
                                               bool reaches_endpoint);

  /// @param organisation Organisation of a caller's session; empty: none.
  /// @returns Whether the organisation's statements go to another gateway of the endpoint, although
  ///     this daemon is one of its gateways. Always false in a deployment without organisations.
  bool PrefersOther(const EndpointRecord& endpoint, const std::string& organisation);

  /// @returns Whether no other gateway of the endpoint can be reached. Always false if this daemon
  ///     is not a gateway of the endpoint.
  bool IsLastGateway(const EndpointRecord& endpoint);

  /// Sets whether the deployment has organisations.
  void SetOrganisations(bool organisations) { this->gateways.SetOrganisations(organisations); }

  /// Sends an administrative order to an endpoint through a gateway.
  /// @throws std::runtime_error when no gateway delivered the endpoint's report.
  boost::asio::awaitable<EndpointReport> SendOrder(const EndpointRecord& endpoint,
                                                   EndpointOrder order,
                                                   uint64_t term,
                                                   Duration limit);

  /// @returns Whether there is another daemon that can be asked to relay statements.
  bool HasPeers() const { return this->network != nullptr && this->gateways.size() > 1; }

  /// Chooses gateways for an endpoint. In a small fleet every other daemon can be a gateway.
  /// @param preference Organisation by which the gateways are sorted; empty: the order is this
  ///     daemon's own.
  /// @param reaches_endpoint Whether this daemon itself may send statements to the endpoint, so
  ///     that no other daemon has to replace it as a gateway.
  /// @returns The gateways that are reachable from this daemon and expected to reach the endpoint,
  ///     best first.
  std::vector<Peer> UsableGateways(const EndpointRecord& endpoint,
                                   const std::string& preference = {},
                                   bool reaches_endpoint = false);

  PeerHealth& health() { return this->peer_health; }

  /// Records that a peer cannot be reached. WatchPeers() then soon pings all connected peers.
  void NoteLost(const Peer& peer);

  /// Sets how many connections all daemons together may open to each endpoint of a service.
  void SetConnections(const std::string& service, uint32_t connections);

  PeerNetwork* peers() const { return this->network; }

 private:
  bool IsUsable(const EndpointRecord& endpoint, const Peer& peer, TimePoint now);
  // Pings a peer. If the peer does not answer, records it as unreachable and pings it once more.
  boost::asio::awaitable<void> Check(Peer peer);
  boost::asio::awaitable<bool> Ping(Peer peer, Duration limit);
  // Pings a peer that is recorded as unreachable, and records whether the peer answers.
  boost::asio::awaitable<void> Probe(Peer peer);

  std::string self;
  GatewayPlan gateways;
  PeerHealth peer_health;
  PeerNetwork* network = nullptr;
  std::set<std::string> checking;  // Addresses of peers with a check in progress.
  TimePoint next_probe_all;        // Earliest start of the next check of all connected peers.
  bool probe_all_due = false;      // WatchPeers() is to check all connected peers next.
  // By service: number of connections that all daemons together may open to each endpoint.
  std::map<std::string, uint32_t> connections_by_service;
  RandomEngine random;
  uint64_t clock_id;
};

}  // namespace poplarmoor
