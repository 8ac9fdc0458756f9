#include "session/relay_router.h"

#include <algorithm>
#include <random>
#include <stdexcept>

#include "net/peer_network.h"
#include "session/boot_clock.h"
#include "session/relay_channel.h"
#include "wire/relay_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// A gateway that failed is tried again after this time, about that of a restart.
constexpr Duration kFailurePause = 2s;
// So many failed gateways of one endpoint mean that its failure domain is cut off; then only one
// statement in this interval tries.
constexpr size_t kFailuresOfCut = 3;
constexpr Duration kTrialInterval = 300ms;
constexpr Duration kOrderSlack = 50ms;  // Round trip to the gateway.

}  // namespace

RelayRouter::RelayRouter(std::string self)
    : gateways(std::move(self)), random(std::random_device{}()) {}

std::unique_ptr<EndpointChannel> RelayRouter::OpenChannel(const EndpointRecord& endpoint,
                                                          int rank,
                                                          bool transaction) {
  return std::make_unique<RelayChannel>(this, endpoint, this->random(), rank, transaction);
}

std::vector<Peer> RelayRouter::UsableGateways(const EndpointRecord& endpoint) {
  const auto connections = this->by_service.find(endpoint.service);
  if (connections == this->by_service.end()) {
    return {};
  }
  std::vector<Peer> peers =
      this->gateways.GatewaysOf(endpoint.id, endpoint.failure_domain, connections->second);
  if (peers.empty()) {
    peers = this->gateways.Others(endpoint.id, endpoint.failure_domain);
  }
  const TimePoint now = BootNow();
  const auto usable =
      std::stable_partition(peers.begin(), peers.end(), [this, now](const Peer& peer) {
        const auto failure = this->failed.find(peer.address);
        return failure == this->failed.end() || now - failure->second > kFailurePause;
      });
  const size_t failures = static_cast<size_t>(peers.end() - usable);
  if (failures < std::min(kFailuresOfCut, peers.size())) {
    return peers;
  }
  TimePoint& trial = this->next_trial[endpoint.id];
  if (now < trial) {
    return {};
  }
  trial = now + kTrialInterval;
  return peers;
}

void RelayRouter::NoteFailure(const std::string& address) {
  this->failed[address] = BootNow();
}

void RelayRouter::SetConnections(const std::string& service, uint32_t connections) {
  this->by_service[service] = connections;
}

asio::awaitable<EndpointReport> RelayRouter::Order(const EndpointRecord& endpoint,
                                                   EndpointOrder order,
                                                   uint64_t term,
                                                   Duration limit) {
  const std::vector<Peer> peers = this->UsableGateways(endpoint);
  if (peers.empty() || this->network == nullptr) {
    throw std::runtime_error("no gateway of the endpoint is known");
  }
  RelayOrder request;
  request.endpoint = endpoint.id;
  request.order = kEndpointOrderNames.NameOf(order);
  request.term = term;
  request.limit_us = static_cast<uint64_t>(limit.count());
  std::string body = EncodeRelayOrder(request);
  PeerMessage message(kRelayOrderMessage, std::move(body));
  PeerMessage answer;
  try {
    answer = co_await this->network->Call(peers.front().address, std::move(message),
                                          std::chrono::milliseconds(ToMillis(limit + kOrderSlack)));
  } catch (const PeerError&) {
    this->NoteFailure(peers.front().address);
    throw;
  }
  const RelayReport report = DecodeRelayReport(answer.body);
  if (!report.failure.empty()) {
    throw std::runtime_error("gateway " + peers.front().daemon + ": " + report.failure);
  }
  EndpointReport decoded;
  decoded.is_primary = report.is_primary;
  decoded.term = report.term;
  decoded.received = report.received;
  decoded.held_term = report.held_term;
  co_return decoded;
}

}  // namespace poplarmoor
