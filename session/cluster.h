#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "kernel/placement/gateway_plan.h"
#include "kernel/placement/region_map.h"
#include "kernel/route_table.h"
#include "session/access_control.h"
#include "session/configuration_guard.h"
#include "session/relay_router.h"
#include "session/service_group.h"

namespace poplarmoor {

class PeerNetwork;
class SessionCodec;

/// Routes, services and endpoints as this daemon knows them. Not thread-safe; use it on the I/O
/// thread only.
class Cluster {
 public:
  /// @param executor Executor of the I/O thread.
  /// @param codec Session protocol; must outlive this object.
  /// @param daemon Name of this daemon.
  /// @param failure_domain Failure domain of this daemon.
  Cluster(boost::asio::any_io_executor executor,
          const SessionCodec* codec,
          std::string daemon,
          std::string failure_domain);

  /// Applies a route table if it is newer than the one in force.
  void ApplyRoutes(RouteTable table);

  /// Adds an endpoint or updates a known one. If the record is older than the one already applied,
  /// the only effect is that the endpoint no longer counts as missing from the registry.
  /// @param unchanged_until Latest time at which the registry is known not to have had the record
  ///     yet; an endpoint that leaves is taken to leave from then on. Empty: now.
  void ApplyEndpoint(EndpointRecord record,
                     std::optional<TimePoint> unchanged_until = std::nullopt);

  /// @returns Whether statements outside transactions may be sent to the endpoint: it has not
  ///     departed, and if it leaves, its drain bound is not near.
  bool TakesStatements(const EndpointPool& pool) const;

  /// Records that the registry has no entry for the endpoint. RunMaintenance() acts on it only
  /// after a grace period, because entries also expire during an outage of the registry.
  void MarkEndpointMissing(const std::string& id);

  /// Applies a takeover claim, and adds the members that its holder compares and that this daemon
  /// does not know as departed ones.
  void ApplyClaim(TakeoverClaim claim);

  /// Reads a service's newest takeover claim from the store.
  using ClaimReader = std::function<boost::asio::awaitable<void>(ServiceGroup* group)>;
  void SetClaimReader(ClaimReader reader) { this->claim_reader = std::move(reader); }

  /// Starts to read the service's takeover claim from the store, unless it was read a moment ago.
  void RefreshClaim(ServiceGroup* group);

  /// Records that the known takeover claims were the store's newest ones at a time.
  void NoteClaimsVerified(TimePoint verified);

  /// Marks endpoints as departed whose registry entry has been missing for longer than the grace
  /// period. Closes connections that have been idle for too long, and opens the connections that
  /// are to be kept ready for later statements. To be called regularly.
  void RunMaintenance();

  /// Sets the list of running daemons, this one included. The number of connections that an
  /// endpoint accepts is divided among these daemons.
  void SetPeers(std::vector<Peer> live);

  /// Sets the time after an endpoint's announcement that it leaves from which no statement may
  /// reach the endpoint. Without this call there is no such bound.
  void SetDrainBound(Duration bound) { this->drain_bound = bound; }

  /// Sets the network over which the daemons call each other. Until it is set, this daemon connects
  /// to all endpoints directly. The network must outlive this object.
  void SetNetwork(PeerNetwork* network);

  /// Sets the regions of the failure domains.
  void SetRegions(RegionMap regions) { this->region_map = std::move(regions); }
  const RegionMap& regions() const { return this->region_map; }

  RelayRouter& relays() { return this->router; }

  /// @param service Name of the service.
  /// @returns The service's group, or null when this daemon has seen neither an endpoint nor a
  ///     takeover claim of the service.
  ServiceGroup* FindGroup(const std::string& service);

  /// @returns The service's group, which is created if it does not exist.
  ServiceGroup* EnsureGroup(const std::string& service);

  /// @param id Id of the endpoint.
  /// @returns The endpoint's connection pool, or null when the endpoint is unknown.
  std::shared_ptr<EndpointPool> FindEndpoint(const std::string& id);

  const RouteTable& routes() const { return this->table; }

  /// @returns Checks of API keys with the routes in force.
  AccessControl& access() { return this->access_control; }

  /// @returns Limits of the use of the routes in force.
  ConfigurationGuard& configuration() { return this->configuration_guard; }
  std::map<std::string, std::unique_ptr<ServiceGroup>>& groups() { return this->by_service; }
  const std::string& failure_domain() const { return this->own_domain; }

  /// Waits until the routes and at least one endpoint are known.
  /// @param max_wait Longest wait.
  /// @returns Whether they are known.
  boost::asio::awaitable<bool> AwaitReady(Duration max_wait);

  /// @returns Whether the routes and at least one endpoint are known.
  bool IsReady() const;

 private:
  void SetLimits(EndpointPool* pool);
  // Time after its announcement for which an endpoint that leaves gets statements.
  Duration UseTime() const;
  // Stops the use of primaries whose drain bound is near.
  void RetireLeavingPrimaries();
  void SetAllLimits();

  boost::asio::any_io_executor executor;
  const SessionCodec* codec;
  std::string own_domain;
  RegionMap region_map;
  RouteTable table;
  AccessControl access_control;
  std::map<std::string, std::unique_ptr<ServiceGroup>> by_service;
  // By endpoint id: when this daemon found that the endpoint's registry entry was missing.
  std::map<std::string, TimePoint> missing_since;
  // Ids of the leaving primaries that get no statements because their drain bound is near.
  std::set<std::string> retired;
  // By endpoint id: when the endpoint announced that it leaves, as far as this daemon knows.
  std::map<std::string, TimePoint> leaving_since;
  Duration drain_bound = Duration::max();
  RelayRouter router;
  ConfigurationGuard configuration_guard{&this->router};
  ClaimReader claim_reader;  // Empty: claims are not read on demand.
  WaitList changed;
};

}  // namespace poplarmoor
