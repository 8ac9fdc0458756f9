#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/freshness_log.h"
#include "kernel/read_placement.h"
#include "session/endpoint_pool.h"
#include "session/takeover_claim.h"
#include "session/wait_list.h"

namespace poplarmoor {

/// This daemon's view of one service's endpoints and of its primary. The view may be wrong: the
/// endpoints themselves refuse statements that only the primary may run.
class ServiceGroup {
 public:
  ServiceGroup(boost::asio::any_io_executor executor, std::string name);

  /// @returns The endpoint believed to be the primary, or null.
  std::shared_ptr<EndpointPool> Primary() const;

  /// Records that an endpoint is the primary. No effect if a primary of a newer term is known.
  /// @param endpoint Id of the endpoint.
  /// @param term Term in which the endpoint is the primary; 0 when unknown.
  /// @param evidence How this daemon learned of the primary, for the log.
  void SetPrimary(const std::string& endpoint, uint64_t term, std::string_view evidence);

  /// Records that an endpoint is not the primary or cannot be reached. No effect unless the
  /// endpoint is believed to be the primary.
  /// @param endpoint Id of the endpoint.
  /// @param evidence Why the endpoint is no longer considered the primary, for the log.
  void ClearPrimary(const std::string& endpoint, std::string_view evidence);

  /// Applies the role that the registry gives for an endpoint, unless a newer registry entry has
  /// changed the primary already.
  void ApplyRegistryRole(const EndpointRecord& record);

  /// Applies a takeover claim from the store if it is newer than the newest known claim.
  void ApplyClaim(TakeoverClaim newer);

  /// Waits until a primary is known.
  /// @param max_wait Longest wait. When no primary is expected within this time, the call returns
  ///     without using it up.
  /// @returns The primary, or null.
  boost::asio::awaitable<std::shared_ptr<EndpointPool>> AwaitPrimary(Duration max_wait);

  /// @returns Expected time until the service has a primary again: 0 when it has one, and
  ///     Duration::max() when a promotion is overdue.
  Duration ExpectedOutage() const;

  /// @param own_domain Failure domain of this daemon.
  /// @param demand_age Age of the log position that the read demands.
  /// @returns Endpoints for a read, best first.
  std::vector<std::shared_ptr<EndpointPool>> EndpointsForRead(const std::string& own_domain,
                                                              Duration demand_age) const;

  std::string name;
  std::map<std::string, std::shared_ptr<EndpointPool>> members;  // Endpoints of the service, by id.
  FreshnessLog freshness;
  uint64_t term = 0;                      // Highest known term of a primary.
  std::string old_primary;                // Id of the last known primary.
  std::optional<TimePoint> outage_since;  // Start of the outage; set while no primary is known.
  std::optional<TimePoint> promotion_ordered;  // When a promotion was ordered in this outage.
  TakeoverClaim claim;                         // Newest takeover claim known.
  TimePoint claim_seen;                        // When the takeover claim's revision was first seen.
  // Time until which a resume order of an earlier takeover may still take effect.
  TimePoint resume_pending_until;
  TimePoint primary_since;       // When this daemon learned of the present primary.
  bool finding_primary = false;  // A search for the primary is in progress.
  bool taking_over = false;      // This daemon runs a takeover.
  bool refreshing = false;       // A request for the primary's log position is in progress.
  // Send times of commits in progress at the primary.
  std::map<EndpointChannel*, TimePoint> commits;

 private:
  std::string primary;             // Id of the primary; empty: unknown.
  uint64_t registry_revision = 0;  // Revision of the last registry entry that changed the primary.
  // Smoothed time from ordering a promotion until the endpoint is the primary.
  Duration promotion_time;
  WaitList changed;
};

}  // namespace poplarmoor
