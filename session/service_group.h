#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/freshness_log.h"
#include "kernel/placement/read_placement.h"
#include "kernel/placement/region_map.h"
#include "session/endpoint_pool.h"
#include "session/takeover_claim.h"
#include "session/wait_list.h"

namespace poplarmoor {

/// This daemon's view of one service's endpoints and of its primary. The view may be wrong: the
/// endpoints themselves refuse statements that only the primary may run.
class ServiceGroup {
 public:
  /// @param regions Regions of the failure domains; must outlive this object.
  ServiceGroup(boost::asio::any_io_executor executor, std::string name, const RegionMap* regions);

  /// @returns The endpoint believed to be the primary, or null.
  std::shared_ptr<EndpointPool> Primary() const;

  /// Records that an endpoint is the primary. No effect if a primary of a newer term is known.
  /// @param endpoint Id of the endpoint.
  /// @param term Term in which the endpoint is the primary; 0: unknown.
  /// @param evidence How this daemon learned of the primary; written to its text log.
  void SetPrimary(const std::string& endpoint, uint64_t term, std::string_view evidence);

  /// Records that an endpoint is not the primary or cannot be reached. No effect unless the
  /// endpoint is believed to be the primary.
  /// @param endpoint Id of the endpoint.
  /// @param evidence Why the endpoint is no longer considered the primary; written to this
  ///     daemon's text log.
  void ClearPrimary(const std::string& endpoint, std::string_view evidence);

  /// Records that the primary gets no more statements, because its drain bound is near. The
  /// takeover that its announcement has started has not succeeded for longer than a promotion
  /// takes, so no primary is expected until a promotion is accepted.
  void RetirePrimary();

  /// Records whether the registry entry of an endpoint says that the endpoint is the primary. No
  /// effect if a newer registry entry has already changed the primary that this daemon knows.
  void ApplyRegistryRole(const EndpointRecord& record);

  /// Applies a takeover claim from the store if its revision is newer than that of the known claim.
  /// The first claim of a new era may be older than the known one, because the store was restored.
  /// The known claim is replaced all the same: the store compares later writes with the restored
  /// one.
  void ApplyClaim(TakeoverClaim newer);

  /// Replaces the known claim when the store has none: it was restored from a copy without it.
  /// @param listed Revision of the listing that lacks the claim.
  void ForgetClaim(StoreRevision listed);

  /// @returns Candidates of the ordered promotions that may still take place, as far as the known
  ///     claim tells.
  /// @param primary Endpoint that leads; empty: unknown.
  /// @param term Term in which it leads; 0: unknown.
  std::vector<std::string> PendingCandidates(const std::string& primary, uint64_t term) const;

  /// @returns Whether an ordered promotion may still take place.
  bool HasOrderedPromotion() const {
    return !this->PendingCandidates(this->old_primary, this->term).empty();
  }

  /// @returns Whether a takeover may be in progress, as far as the known claim tells.
  bool HasTakeoverInProgress() const;

  /// @returns Expected time until commits can be confirmed again; 0 while none waits for long, and
  ///     Duration::max() if no promotion is expected to end the wait.
  Duration ExpectedCommitStall() const;

  /// Records that the known claim was the store's newest one at a time.
  void NoteClaimVerified(TimePoint verified);

  /// Waits until a primary is known.
  /// @param max_wait Longest wait. If no primary is expected within this time, the call returns
  ///     null early.
  /// @returns The primary, or null.
  boost::asio::awaitable<std::shared_ptr<EndpointPool>> AwaitPrimary(Duration max_wait);

  /// @returns Expected time until the service has a primary again: 0 when it has one, and
  ///     Duration::max() when the outage or promotion has lasted so long that the promotion counts
  ///     as failed.
  Duration ExpectedOutage() const;

  /// @param own_domain Failure domain of this daemon.
  /// @param demand_age Age of the log position that the read demands: how long ago the primary's
  ///     log ended there.
  /// @param organisation Organisation of the read; empty: none. Its reads prefer the same endpoint
  ///     among those of similar delay, where a connection of the organisation is likely to exist.
  /// @returns Endpoints for a read, best first.
  std::vector<std::shared_ptr<EndpointPool>> EndpointsForRead(
      const std::string& own_domain,
      Duration demand_age,
      const std::string& organisation = {}) const;

  /// @returns Whether a member is not departed.
  bool HasRegisteredMember() const;

  /// @returns Whether a member has left the registry, but its log is still to be compared.
  bool HasDepartedMember() const;

  std::string name;
  // Endpoints of the service, by id, departed ones included.
  std::map<std::string, std::shared_ptr<EndpointPool>> members;
  FreshnessLog freshness;
  uint64_t term = 0;        // Highest term in which this daemon knows of a primary of the service.
  std::string old_primary;  // Id of the last known primary.
  // When this daemon last ceased to know a primary; empty while a primary is known, and until the
  // first primary becomes known.
  std::optional<TimePoint> outage_since;
  // When a promotion was ordered in this outage; empty: none was ordered yet.
  std::optional<TimePoint> promotion_ordered;
  TakeoverClaim claim;  // Newest takeover claim known.
  // Latest time at which certainly no takeover was in progress; empty: none is known.
  std::optional<TimePoint> calm_at;
  WaitList statuses_changed;  // Notified when a member has answered CommitVerifier.
  // When each commit that CommitVerifier has not confirmed yet was acknowledged by the primary.
  std::multiset<TimePoint> unconfirmed;
  bool reading_claim = false;  // A call for the newest claim is in progress.
  TimePoint next_claim_read;   // Earliest next call for the newest claim.
  bool reconfirming = false;   // CommitVerifier asks the members on behalf of no commit.
  TimePoint claim_seen;        // When this daemon first saw the present content of `claim`.
  // Time until which endpoints may still carry out an order to resume replication that an earlier
  // takeover sent.
  TimePoint resume_pending_until;
  TimePoint primary_since;            // When this daemon learned of the present primary.
  bool finding_primary = false;       // A search for the primary is in progress.
  bool taking_over = false;           // This daemon prepares or runs a takeover of the service.
  bool reviewing_departures = false;  // A check whether departed members may be forgotten runs.
  TimePoint next_departure_review;
  // When this daemon next attempts to record the members in the store or checks again whether it is
  // to do so; empty while the record is up to date.
  std::optional<TimePoint> record_due;
  TimePoint next_record_check;  // Earliest next comparison of the members with their record.
  bool refreshing = false;      // A request for the primary's log position is in progress.
  // When each commit in progress at the primary was sent, by the connection that it uses.
  std::map<EndpointChannel*, TimePoint> commits;

 private:
  // Replaces the known claim by the claim, or the lack of one, of a store that was restored. The
  // known primary and an outage's estimate stay as they are.
  void AdoptRestoredClaim(TakeoverClaim restored);

  const RegionMap* regions;
  bool promotion_overdue = false;   // See RetirePrimary().
  std::string primary;              // Id of the primary; empty: unknown.
  StoreRevision registry_revision;  // Revision of the last registry entry that changed the primary.
  // Running average of the time from a promotion order until the promoted endpoint is the primary.
  Duration promotion_time;
  WaitList changed;
};

}  // namespace poplarmoor
