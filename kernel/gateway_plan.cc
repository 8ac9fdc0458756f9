#include "kernel/gateway_plan.h"

#include <algorithm>

#include "kernel/ownership.h"

namespace poplarmoor {

namespace {

// With fewer connections a daemon, a transaction would block its other statements.
constexpr double kMinConnectionsPerDaemon = 1.5;
// Enough that transactions and statements of one gateway rarely wait for each other.
constexpr uint32_t kConnectionsPerGateway = 4;
constexpr uint32_t kMinGateways = 2;  // The loss of one leaves the endpoint reachable.

// Up to this size every daemon watches the store, which spares a second step of each change.
constexpr size_t kMaxWatchingFleet = 16;
constexpr size_t kWatchersPerDomain = 3;  // The loss of two leaves the domain informed.
constexpr char kWatchKey[] = "watch";

uint32_t GatewayCount(uint32_t connections) {
  return std::max(connections / kConnectionsPerGateway, kMinGateways);
}

// Sorts by the rendezvous score under a key, the highest first.
void SortByScore(std::vector<Peer>* peers, const std::string& key) {
  std::sort(peers->begin(), peers->end(), [&key](const Peer& left, const Peer& right) {
    return RendezvousScore(key, left.daemon) > RendezvousScore(key, right.daemon);
  });
}

}  // namespace

GatewayPlan::GatewayPlan(std::string self) : self(std::move(self)) {
  this->SetPeers({});
}

void GatewayPlan::SetPeers(std::vector<Peer> live) {
  this->live_peers = std::move(live);
  const bool listed = std::any_of(this->live_peers.begin(), this->live_peers.end(),
                                  [this](const Peer& peer) { return peer.daemon == this->self; });
  if (!listed) {
    this->live_peers.push_back({this->self, "", ""});
  }
}

bool GatewayPlan::EveryoneConnects(uint32_t connections) const {
  return static_cast<double>(this->live_peers.size()) * kMinConnectionsPerDaemon <= connections;
}

std::vector<Peer> GatewayPlan::Chosen(const std::string& endpoint,
                                      const std::string& failure_domain,
                                      uint32_t connections) const {
  std::vector<Peer> near;
  std::vector<Peer> far;
  for (const Peer& peer : this->live_peers) {
    (peer.failure_domain == failure_domain ? near : far).push_back(peer);
  }
  SortByScore(&near, endpoint);
  SortByScore(&far, endpoint);
  const size_t count = GatewayCount(connections);
  if (near.size() < kMinGateways) {
    near.insert(near.end(), far.begin(), far.end());
  }
  near.resize(std::min(near.size(), count));
  return near;
}

bool GatewayPlan::IsGateway(const std::string& endpoint,
                            const std::string& failure_domain,
                            uint32_t connections) const {
  if (this->EveryoneConnects(connections)) {
    return true;
  }
  const std::vector<Peer> chosen = this->Chosen(endpoint, failure_domain, connections);
  return std::any_of(chosen.begin(), chosen.end(),
                     [this](const Peer& peer) { return peer.daemon == this->self; });
}

std::vector<Peer> GatewayPlan::Others(const std::string& endpoint,
                                      const std::string& failure_domain) const {
  std::vector<Peer> others = this->live_peers;
  std::erase_if(others, [this](const Peer& peer) { return peer.daemon == this->self; });
  SortByScore(&others, endpoint + "/" + this->self);
  std::stable_partition(others.begin(), others.end(), [&failure_domain](const Peer& peer) {
    return peer.failure_domain == failure_domain;
  });
  return others;
}

std::vector<Peer> GatewayPlan::Watchers() const {
  std::string domain;
  for (const Peer& peer : this->live_peers) {
    domain = peer.daemon == this->self ? peer.failure_domain : domain;
  }
  std::vector<Peer> watchers;
  for (const Peer& peer : this->live_peers) {
    if (peer.failure_domain == domain) {
      watchers.push_back(peer);
    }
  }
  SortByScore(&watchers, kWatchKey);
  watchers.resize(std::min<size_t>(watchers.size(), kWatchersPerDomain));
  return watchers;
}

bool GatewayPlan::IsWatcher() const {
  if (this->live_peers.size() <= kMaxWatchingFleet) {
    return true;
  }
  const std::vector<Peer> watchers = this->Watchers();
  return std::any_of(watchers.begin(), watchers.end(),
                     [this](const Peer& peer) { return peer.daemon == this->self; });
}

uint32_t GatewayPlan::ShareOf(uint32_t connections) const {
  if (this->EveryoneConnects(connections)) {
    return std::max<uint32_t>(connections / static_cast<uint32_t>(this->live_peers.size()), 1);
  }
  return std::max<uint32_t>(connections / GatewayCount(connections), 1);
}

std::vector<Peer> GatewayPlan::GatewaysOf(const std::string& endpoint,
                                          const std::string& failure_domain,
                                          uint32_t connections) const {
  if (this->EveryoneConnects(connections)) {
    return {};
  }
  std::vector<Peer> chosen = this->Chosen(endpoint, failure_domain, connections);
  SortByScore(&chosen, endpoint + "/" + this->self);
  return chosen;
}

}  // namespace poplarmoor
