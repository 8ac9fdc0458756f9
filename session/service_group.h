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

/// What this daemon knows of one service's endpoints and of its primary. The belief may be wrong:
/// the endpoints themselves refuse what only the primary may run.
class ServiceGroup {
 public:
  ServiceGroup(boost::asio::any_io_executor executor, std::string name);

  /// @returns The endpoint believed to be the primary, or null.
  std::shared_ptr<EndpointPool> Primary() const;

  /// Records that an endpoint leads.
  /// @param endpoint Its id.
  /// @param term Its term; 0 when unknown.
  void SetPrimary(const std::string& endpoint, uint64_t term, std::string_view evidence);

  /// Records that an endpoint does not lead or cannot be reached.
  void LosePrimary(const std::string& endpoint, std::string_view evidence);

  /// Applies the registry's view of an endpoint's role.
  void OnRegistryRole(const EndpointRecord& record);

  /// Takes over a newer takeover claim from the store.
  void OnClaim(TakeoverClaim newer);

  /// Waits until a primary is known.
  /// @param patience Longest wait; not used up when no primary can be expected within it.
  /// @returns The primary, or null.
  boost::asio::awaitable<std::shared_ptr<EndpointPool>> AwaitPrimary(Duration patience);

  /// @returns Expected time until a primary leads again; 0 when one does.
  Duration ExpectedOutage() const;

  /// @param own_domain Failure domain of this daemon.
  /// @param demand_age Age of the position that the read demands.
  /// @returns Endpoints for a read, best first.
  std::vector<std::shared_ptr<EndpointPool>> ReadOrder(const std::string& own_domain,
                                                       Duration demand_age) const;

  std::string name;
  std::map<std::string, std::shared_ptr<EndpointPool>> members;  // By id.
  FreshnessLog freshness;
  uint64_t term = 0;                           // Highest term known.
  std::string old_primary;                     // The last endpoint that led.
  std::optional<TimePoint> outage_since;       // Since when no primary is known.
  std::optional<TimePoint> promotion_ordered;  // When a promotion was ordered in this outage.
  TakeoverClaim claim;                         // Newest claim known.
  TimePoint claim_seen;                        // When its revision was first seen.
  TimePoint resume_pending_until;  // Until then an earlier takeover's resume order may take effect.
  TimePoint primary_since;
  bool seeking = false;                           // A search for the primary is in progress.
  bool taking_over = false;                       // This daemon runs a takeover.
  bool refreshing = false;                        // A request for fresh evidence is in progress.
  std::map<EndpointChannel*, TimePoint> commits;  // In progress at the primary: when sent.

 private:
  std::string primary;             // Id; empty: unknown.
  uint64_t registry_revision = 0;  // Of the registry entry that named the primary.
  Duration promotion_time;         // Smoothed time from the order to the lead.
  WaitList changed;
};

}  // namespace poplarmoor
