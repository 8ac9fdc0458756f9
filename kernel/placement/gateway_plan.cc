#include "kernel/placement/gateway_plan.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "kernel/ownership.h"

namespace poplarmoor {

namespace {

// Minimum number of connections per live daemon that an endpoint must accept for every daemon to
// connect to it; if it accepts fewer, only gateways connect. With a single connection per daemon,
// an open transaction of a daemon would block the daemon's other statements.
constexpr double kMinConnectionsPerDaemon = 1.5;
// Number of connections that an endpoint accepts for each of its gateways. With four connections,
// the transactions and statements that one gateway forwards rarely wait for each other.
constexpr uint32_t kConnectionsPerGateway = 4;
// Minimum number of gateways per endpoint, so that one remains if one fails.
constexpr uint32_t kMinGateways = 2;

// Largest fleet (number of live daemons) in which every daemon watches the object store itself.
// If every daemon watches, no watcher has to forward changes to the others.
constexpr size_t kMaxWatchingFleet = 16;
// Watchers per failure domain; if two of them fail, one remains.
constexpr size_t kWatchersPerDomain = 3;
// Largest number of services whose primaries' log positions are spread. Those of 334 services made
// most of the 217 kB/s that each of 102 daemons sent and received, which filled small links.
constexpr size_t kMaxSpreadServices = 64;
constexpr char kWatchKey[] = "watch";

using PeerPointers = std::vector<const Peer*>;

// Reduces `peers` to the `count` peers with the highest rendezvous scores for `key`, sorted from
// the highest score to the lowest.
void KeepHighestScores(PeerPointers* peers, const std::string& key, size_t count) {
  std::vector<std::pair<uint64_t, const Peer*>> scored;
  scored.reserve(peers->size());
  for (const Peer* peer : *peers) {
    scored.emplace_back(RendezvousScore(key, peer->daemon), peer);
  }
  const size_t kept = std::min(count, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<ptrdiff_t>(kept), scored.end(),
                    [](const auto& left, const auto& right) { return left.first > right.first; });
  peers->resize(kept);
  for (size_t place = 0; place < kept; ++place) {
    (*peers)[place] = scored[place].second;
  }
}

// Removes the peers with less than half of the largest capacity, if at least two remain: a gateway
// carries a large part of an endpoint's statements, which a small VM cannot.
void KeepCapable(PeerPointers* peers) {
  double largest = 0.0;
  for (const Peer* peer : *peers) {
    largest = std::max(largest, peer->capacity);
  }
  PeerPointers capable = *peers;
  std::erase_if(capable, [largest](const Peer* peer) { return peer->capacity * 2.0 < largest; });
  if (capable.size() >= kMinGateways) {
    *peers = std::move(capable);
  }
}

std::vector<Peer> Copy(const PeerPointers& peers) {
  std::vector<Peer> copies;
  copies.reserve(peers.size());
  for (const Peer* peer : peers) {
    copies.push_back(*peer);
  }
  return copies;
}

}  // namespace

GatewayPlan::GatewayPlan(std::string self) : self(std::move(self)) {
  this->SetPeers({});
}

void GatewayPlan::SetPeers(std::vector<Peer> live) {
  ++this->generation;
  this->live_peers = std::move(live);
  const bool listed = std::any_of(this->live_peers.begin(), this->live_peers.end(),
                                  [this](const Peer& peer) { return peer.daemon == this->self; });
  if (!listed) {
    this->live_peers.push_back({this->self, "", ""});
  }
}

uint32_t GatewayPlan::GatewayCount(uint32_t connections) const {
  return this->by_organisation ? kMinGateways
                               : std::max(connections / kConnectionsPerGateway, kMinGateways);
}

bool GatewayPlan::EveryDaemonConnects(uint32_t connections) const {
  return !this->by_organisation &&
         static_cast<double>(this->live_peers.size()) * kMinConnectionsPerDaemon <= connections;
}

std::vector<const Peer*> GatewayPlan::SelectGateways(const std::string& endpoint,
                                                     const std::string& failure_domain,
                                                     uint32_t connections) const {
  PeerPointers domain_peers;
  PeerPointers other_peers;
  for (const Peer& peer : this->live_peers) {
    (peer.failure_domain == failure_domain ? domain_peers : other_peers).push_back(&peer);
  }
  const size_t count = this->GatewayCount(connections);
  if (this->by_organisation) {
    KeepCapable(&domain_peers);
  }
  KeepHighestScores(&domain_peers, endpoint, count);
  if (domain_peers.size() < kMinGateways) {
    if (this->by_organisation) {
      KeepCapable(&other_peers);
    }
    KeepHighestScores(&other_peers, endpoint, count - domain_peers.size());
    domain_peers.insert(domain_peers.end(), other_peers.begin(), other_peers.end());
  }
  return domain_peers;
}

bool GatewayPlan::IsGateway(const std::string& endpoint,
                            const std::string& failure_domain,
                            uint32_t connections) const {
  if (this->EveryDaemonConnects(connections)) {
    return true;
  }
  const PeerPointers selected_gateways =
      this->SelectGateways(endpoint, failure_domain, connections);
  return std::any_of(selected_gateways.begin(), selected_gateways.end(),
                     [this](const Peer* peer) { return peer->daemon == this->self; });
}

std::vector<Peer> GatewayPlan::OtherDaemons(const std::string& endpoint,
                                            const std::string& failure_domain) const {
  PeerPointers others;
  for (const Peer& peer : this->live_peers) {
    if (peer.daemon != this->self) {
      others.push_back(&peer);
    }
  }
  KeepHighestScores(&others, endpoint + "/" + this->self, others.size());
  std::stable_partition(others.begin(), others.end(), [&failure_domain](const Peer* peer) {
    return peer->failure_domain == failure_domain;
  });
  return Copy(others);
}

std::string GatewayPlan::OwnDomain() const {
  for (const Peer& peer : this->live_peers) {
    if (peer.daemon == this->self) {
      return peer.failure_domain;
    }
  }
  return {};
}

std::vector<Peer> GatewayPlan::Watchers() const {
  return this->WatchersOf(this->OwnDomain());
}

std::vector<Peer> GatewayPlan::WatchersToFollow() const {
  if (this->EveryDaemonWatches()) {
    return {};
  }
  std::vector<Peer> watchers = this->Watchers();
  const auto own = std::find_if(watchers.begin(), watchers.end(), [this](const Peer& watcher) {
    return watcher.daemon == this->self;
  });
  if (own != watchers.end()) {
    watchers.erase(this->standby_watchers ? own : watchers.begin(), watchers.end());
  }
  return watchers;
}

std::vector<Peer> GatewayPlan::WatchersOf(const std::string& failure_domain) const {
  PeerPointers watchers;
  for (const Peer& peer : this->live_peers) {
    if (peer.failure_domain == failure_domain) {
      watchers.push_back(&peer);
    }
  }
  KeepHighestScores(&watchers, kWatchKey, kWatchersPerDomain);
  return Copy(watchers);
}

std::optional<Peer> GatewayPlan::LeadWatcher(const std::string& failure_domain,
                                             const std::function<bool(const Peer&)>& usable) const {
  for (Peer& watcher : this->WatchersOf(failure_domain)) {
    if (watcher.daemon == this->self || usable(watcher)) {
      return std::move(watcher);
    }
  }
  return std::nullopt;
}

bool GatewayPlan::SpreadsPositions(size_t services) {
  return services <= kMaxSpreadServices;
}

std::vector<Peer> GatewayPlan::EvidenceSources(
    const RegionMap& regions,
    const std::function<bool(const Peer&)>& usable) const {
  std::set<std::string> domains;
  for (const Peer& peer : this->live_peers) {
    domains.insert(peer.failure_domain);
  }
  const std::string own_domain = this->OwnDomain();
  std::vector<Peer> sources;
  std::map<std::string_view, Peer> region_leads;  // Lead watcher of each region's first domain.
  for (const std::string& domain : domains) {
    auto lead = this->LeadWatcher(domain, usable);
    if (!lead) {
      continue;
    }
    if (regions.HasSeveralRegions()) {
      region_leads.try_emplace(regions.RegionOf(domain), *lead);
    }
    const bool same_region = regions.DistanceBetween(own_domain, domain) != Distance::kOtherRegion;
    if (same_region && lead->daemon != this->self) {
      sources.push_back(std::move(*lead));
    }
  }
  const std::string_view own_region = regions.RegionOf(own_domain);
  const auto own_lead = region_leads.find(own_region);
  if (own_lead != region_leads.end() && own_lead->second.daemon == this->self) {
    for (const auto& [region, lead] : region_leads) {
      if (region != own_region) {
        sources.push_back(lead);
      }
    }
  }
  return sources;
}

bool GatewayPlan::EveryDaemonWatches() const {
  return this->live_peers.size() <= kMaxWatchingFleet;
}

bool GatewayPlan::IsWatcher() const {
  if (this->EveryDaemonWatches()) {
    return true;
  }
  const std::vector<Peer> watchers = this->Watchers();
  return std::any_of(watchers.begin(), watchers.end(),
                     [this](const Peer& peer) { return peer.daemon == this->self; });
}

uint32_t GatewayPlan::ConnectionShare(uint32_t connections) const {
  if (this->EveryDaemonConnects(connections)) {
    return std::max<uint32_t>(connections / static_cast<uint32_t>(this->live_peers.size()), 1);
  }
  return std::max<uint32_t>(connections / this->GatewayCount(connections), 1);
}

std::vector<const Peer*> GatewayPlan::SelectSubstitutes(
    const std::string& endpoint,
    const std::string& failure_domain,
    const std::vector<const Peer*>& selected_gateways,
    const std::function<bool(const Peer&)>& usable) const {
  PeerPointers others;
  for (const Peer& peer : this->live_peers) {
    const bool known = std::find(selected_gateways.begin(), selected_gateways.end(), &peer) !=
                       selected_gateways.end();
    if (peer.failure_domain == failure_domain && !known && usable(peer)) {
      others.push_back(&peer);
    }
  }
  if (this->by_organisation) {
    KeepCapable(&others);
  }
  KeepHighestScores(&others, endpoint, kMinGateways);
  return others;
}

std::vector<Peer> GatewayPlan::GatewaysOf(const std::string& endpoint,
                                          const std::string& failure_domain,
                                          uint32_t connections,
                                          const std::function<bool(const Peer&)>& usable,
                                          const std::string& preference) const {
  if (this->EveryDaemonConnects(connections)) {
    return {};
  }
  PeerPointers selected_gateways = this->SelectGateways(endpoint, failure_domain, connections);
  const PeerPointers planned = selected_gateways;
  std::erase_if(selected_gateways, [&usable](const Peer* peer) { return !usable(*peer); });
  PeerPointers substitutes;
  if (selected_gateways.size() < kMinGateways) {
    substitutes = this->SelectSubstitutes(endpoint, failure_domain, planned, usable);
  }
  const std::string key = endpoint + "/" + (preference.empty() ? this->self : preference);
  if (this->by_organisation) {
    // A substitute has no connection of the organisation yet, unlike the remaining gateway.
    KeepHighestScores(&selected_gateways, key, selected_gateways.size());
    KeepHighestScores(&substitutes, key, substitutes.size());
    selected_gateways.insert(selected_gateways.end(), substitutes.begin(), substitutes.end());
  } else {
    selected_gateways.insert(selected_gateways.end(), substitutes.begin(), substitutes.end());
    KeepHighestScores(&selected_gateways, key, selected_gateways.size());
  }
  return Copy(selected_gateways);
}

bool GatewayPlan::IsLastGateway(const std::string& endpoint,
                                const std::string& failure_domain,
                                uint32_t connections,
                                const std::function<bool(const Peer&)>& usable) const {
  bool is_gateway = false;
  for (const Peer* peer : this->SelectGateways(endpoint, failure_domain, connections)) {
    if (peer->daemon == this->self) {
      is_gateway = true;
    } else if (usable(*peer)) {
      return false;
    }
  }
  return is_gateway;
}

}  // namespace poplarmoor
