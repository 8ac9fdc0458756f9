#include "session/relay_router.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <random>
#include <stdexcept>

#include "net/peer_network.h"
#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/relay_channel.h"
#include "session/wait_list.h"
#include "telemetry/log.h"
#include "wire/relay_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr Duration kWatchInterval = 40ms;
// A peer that has calls in progress and sends nothing for this time is pinged. A usual statement
// (20 ms) behind a short queue takes less time; a false alarm costs only one ping.
constexpr std::chrono::milliseconds kSuspiciousSilence{120};
// Time limit of a ping: two round trips and the handshake take a few milliseconds; the rest covers
// a busy CPU.
constexpr Duration kPingTimeout = 100ms;
// Time limit of a ping to a peer recorded as unreachable, including the time to open a new
// connection; it allows for one lost packet.
constexpr Duration kProbeTimeout = 200ms;
// Shortest time between two checks of all connected peers.
constexpr Duration kProbeAllInterval = 500ms;
// When a gateway does not answer an administrative order, this daemon stops waiting this long after
// the order's time limit has passed. The additional time covers the round trip to the gateway.
constexpr Duration kOrderSlack = 50ms;
// Highest number of gateways that one administrative order is sent to.
constexpr int kMaxOrderTries = 3;

}  // namespace

RelayRouter::RelayRouter(std::string self, std::string failure_domain)
    : self(self),
      gateways(std::move(self)),
      peer_health(std::move(failure_domain)),
      random(std::random_device{}()),
      clock_id(this->random() | 1U) {}

std::unique_ptr<EndpointChannel> RelayRouter::OpenChannel(const EndpointRecord& endpoint,
                                                          int rank,
                                                          bool transaction,
                                                          bool reaches_endpoint) {
  return std::make_unique<RelayChannel>(this, endpoint, this->random(), rank, transaction,
                                        reaches_endpoint);
}

bool RelayRouter::IsUsable(const EndpointRecord& endpoint, const Peer& peer, TimePoint now) {
  return !this->peer_health.IsLost(peer) &&
         !this->peer_health.IsUnreachable(endpoint.id, peer, now);
}

std::vector<Peer> RelayRouter::UsableGateways(const EndpointRecord& endpoint,
                                              const std::string& preference,
                                              bool reaches_endpoint) {
  const auto connections = this->connections_by_service.find(endpoint.service);
  if (connections == this->connections_by_service.end()) {
    return {};
  }
  const TimePoint now = BootNow();
  const auto is_self = [this](const Peer& peer) { return peer.daemon == this->self; };
  const auto usable = [this, &endpoint, now, &is_self, reaches_endpoint](const Peer& peer) {
    return is_self(peer) ? reaches_endpoint : this->IsUsable(endpoint, peer, now);
  };
  std::vector<Peer> usable_gateways;
  if (this->gateways.EveryDaemonConnects(connections->second)) {
    usable_gateways = this->gateways.OtherDaemons(endpoint.id, endpoint.failure_domain);
    std::erase_if(usable_gateways, [&usable](const Peer& peer) { return !usable(peer); });
  } else {
    usable_gateways = this->gateways.GatewaysOf(endpoint.id, endpoint.failure_domain,
                                                connections->second, usable, preference);
  }
  std::erase_if(usable_gateways, is_self);
  return usable_gateways;
}

bool RelayRouter::PrefersOther(const EndpointRecord& endpoint, const std::string& organisation) {
  const auto connections = this->connections_by_service.find(endpoint.service);
  if (!this->gateways.HasOrganisations() || this->network == nullptr ||
      connections == this->connections_by_service.end()) {
    return false;
  }
  const TimePoint now = BootNow();
  const std::vector<Peer> order = this->gateways.GatewaysOf(
      endpoint.id, endpoint.failure_domain, connections->second,
      [this, &endpoint, now](const Peer& peer) {
        return peer.daemon == this->self || this->IsUsable(endpoint, peer, now);
      },
      organisation);
  return !order.empty() && order.front().daemon != this->self;
}

bool RelayRouter::IsLastGateway(const EndpointRecord& endpoint) {
  const auto connections = this->connections_by_service.find(endpoint.service);
  return connections != this->connections_by_service.end() &&
         this->gateways.IsLastGateway(
             endpoint.id, endpoint.failure_domain, connections->second,
             [this](const Peer& peer) { return !this->peer_health.IsLost(peer); });
}

// -----------------------------------------------------------------------------
// Health of the peers

void RelayRouter::SetPeers(std::vector<Peer> live) {
  this->gateways.SetPeers(std::move(live));
  this->peer_health.SetPeers(this->gateways.Peers());
}

asio::awaitable<void> RelayRouter::WatchPeers() {
  const auto executor = co_await asio::this_coro::executor;
  for (;;) {
    co_await Pause(kWatchInterval);
    for (const std::string& address : this->network->UnresponsivePeers(kSuspiciousSilence)) {
      const auto& live = this->gateways.Peers();
      const auto peer = std::find_if(live.begin(), live.end(), [&address](const Peer& candidate) {
        return candidate.address == address;
      });
      if (peer != live.end() && this->checking.insert(address).second) {
        SpawnTask(executor, "check a peer", this->Check(*peer));
      }
    }
    if (this->probe_all_due) {
      // When one peer is unreachable, others often are as well: a failure domain is cut off or the
      // network is partitioned. All connected peers are checked at the same time, so that no
      // statement has to wait for one unreachable peer after the other.
      this->probe_all_due = false;
      const std::vector<std::string> connected = this->network->ConnectedPeers();
      for (const Peer& peer : this->gateways.Peers()) {
        const bool is_connected =
            std::find(connected.begin(), connected.end(), peer.address) != connected.end();
        if (is_connected && !this->peer_health.IsLost(peer) &&
            this->checking.insert(peer.address).second) {
          SpawnTask(executor, "check a peer", this->Check(peer));
        }
      }
    }
    for (const Peer& peer : this->peer_health.TakeDueProbes(BootNow(), &this->random)) {
      SpawnTask(executor, "probe a peer", this->Probe(peer));
    }
  }
}

asio::awaitable<bool> RelayRouter::Ping(Peer peer, Duration limit) {
  PeerMessage message(kPingMessage, std::string());
  try {
    co_await this->network->Call(peer.address, std::move(message),
                                 std::chrono::milliseconds(ToMillis(limit)),
                                 PeerCallKind::kRepeatable);
    co_return true;
  } catch (const PeerError& error) {
    Log(LogLevel::kDebug, "peer did not answer a ping",
        {{"peer", peer.daemon}, {"cause", error.what()}});
  }
  co_return false;
}

asio::awaitable<void> RelayRouter::Check(Peer peer) {
  const bool answers = co_await this->Ping(peer, kPingTimeout);
  if (!answers) {
    // The existing connection to the peer may be dead although new connections work. Probe() opens
    // a new connection and so shows whether the peer answers on it.
    this->network->FailRetryableCalls(peer.address);
    this->NoteLost(peer);
    co_await this->Probe(peer);
  }
  this->checking.erase(peer.address);
}

asio::awaitable<void> RelayRouter::Probe(Peer peer) {
  const bool answers = co_await this->Ping(peer, kProbeTimeout);
  if (!answers) {
    this->peer_health.NoteFailure(peer, BootNow());
    co_return;
  }
  Log(LogLevel::kInfo, "peer regained",
      {{"peer", peer.daemon}, {"failure_domain", peer.failure_domain}});
  this->peer_health.NoteAnswer(peer, BootNow());
}

void RelayRouter::NoteLost(const Peer& peer) {
  const TimePoint now = BootNow();
  const bool already_lost = this->peer_health.IsLost(peer);
  this->peer_health.NoteFailure(peer, now);
  if (already_lost) {
    return;
  }
  Log(LogLevel::kWarn, "peer lost",
      {{"peer", peer.daemon}, {"failure_domain", peer.failure_domain}});
  if (now >= this->next_probe_all) {
    this->next_probe_all = now + kProbeAllInterval;
    this->probe_all_due = true;
  }
}

void RelayRouter::SetConnections(const std::string& service, uint32_t connections) {
  this->connections_by_service[service] = connections;
}

asio::awaitable<EndpointReport> RelayRouter::SendOrder(const EndpointRecord& endpoint,
                                                       EndpointOrder order,
                                                       uint64_t term,
                                                       Duration limit) {
  RelayOrder request;
  request.endpoint = endpoint.id;
  request.order = kEndpointOrderNames.NameOf(order);
  request.term = term;
  request.limit_us = static_cast<uint64_t>(limit.count());
  const std::string body = EncodeRelayOrder(request);
  std::string cause = "no gateway of the endpoint is reachable";
  int tries = 0;
  for (const Peer& peer : this->UsableGateways(endpoint)) {
    if (this->network == nullptr || tries++ == kMaxOrderTries) {
      break;
    }
    PeerMessage message(kRelayOrderMessage, body);
    try {
      const PeerMessage answer = co_await this->network->Call(
          peer.address, std::move(message),
          std::chrono::milliseconds(ToMillis(limit + kOrderSlack)), PeerCallKind::kRepeatable);
      const RelayReport report = DecodeRelayReport(answer.body);
      if (report.failure.empty()) {
        EndpointReport decoded;
        decoded.is_primary = report.is_primary;
        decoded.term = report.term;
        decoded.received = report.received;
        decoded.active_pause_term = report.active_pause_term;
        decoded.connected_since = BootNow() - Duration(static_cast<int64_t>(report.connected_us));
        co_return decoded;
      }
      cause = "gateway " + peer.daemon + ": " + report.failure;
    } catch (const PeerError& error) {
      cause = error.what();
      if (!error.sent) {
        this->NoteLost(peer);
      } else if (order == EndpointOrder::kResume) {
        // The order to resume replication is not sent again through another gateway: the endpoint
        // may still carry out the first order later, and the success of a second order would hide
        // that.
        break;
      }
    }
  }
  throw std::runtime_error(cause);
}

}  // namespace poplarmoor
