#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "kernel/endpoint_status.h"
#include "kernel/group_state.h"
#include "kernel/log_position.h"
#include "kernel/time.h"

namespace poplarmoor {

/// What an entry daemon, which accepts callers' requests, knows of one group: the group state and,
/// for each endpoint, the latest status and the number of requests that this daemon has outstanding
/// there.
class GroupView {
 public:
  /// What this entry daemon knows of one endpoint.
  struct Endpoint {
    EndpointInfo info;
    bool is_primary = false;  // Whether the group state names this endpoint as the primary.
    std::optional<EndpointStatus> status;  // Latest known status; none before the first answer.
    TimePoint status_time;                 // Arrival time of `status`.
    int outstanding = 0;  // Requests that this daemon sent and that have no answer yet.
    std::optional<TimePoint> failed_at;  // Time of the last failed request; reset by an answer.
  };

  GroupView() = default;
  explicit GroupView(const GroupState& state);

  /// Applies a newer group state. Statuses of endpoints that stay in the group are kept.
  /// @param state State from the configuration store.
  /// @returns False when the state was ignored because its term is lower than the known one, or its
  ///     version is lower at the same term.
  bool SetState(const GroupState& state);

  /// Records the status that came with an answer.
  /// @param status Status of an endpoint of this group; others are ignored.
  /// @param now Time of arrival.
  /// @returns Whether the endpoint reports a higher term than the known state, in which case the
  ///     caller should fetch the group state again.
  bool OnStatus(const EndpointStatus& status, TimePoint now);

  /// Counts a request as outstanding at an endpoint.
  /// @param endpoint Name of the endpoint.
  void OnSent(const std::string& endpoint);

  /// Stops counting a request that OnSent() counted.
  /// @param endpoint Name of the endpoint.
  /// @param failed True when no answer arrived. Routing then prefers other endpoints for a while;
  ///     see IsSuspect().
  /// @param now Current time.
  void OnDone(const std::string& endpoint, bool failed, TimePoint now);

  /// @returns The group state.
  const GroupState& State() const { return this->state; }

  /// @returns All endpoints, in the order of the group state.
  const std::vector<Endpoint>& Endpoints() const { return this->endpoints; }

  /// @param name Name of an endpoint.
  /// @returns The endpoint, or null when the group has none of this name.
  const Endpoint* Find(const std::string& name) const;

  /// @returns The primary of the current term, or null during a promotion or when the primary is
  ///     leaving.
  const Endpoint* UsablePrimary() const;

  /// Estimates up to which log index a replica has replayed by now. The replica goes on replaying
  /// after it reported its status. The estimate assumes that the replica's staleness stays the
  /// same: if the status reported staleness S, the replica has by now replayed the entries that the
  /// primary held a time S ago.
  /// @param endpoint An endpoint of this view.
  /// @param now Current time.
  /// @returns A log index; 0 without a status in the current term.
  uint64_t EstimateReplayed(const Endpoint& endpoint, TimePoint now) const;

  /// @param endpoint An endpoint of this view.
  /// @param now Current time.
  /// @returns Estimated number of unfinished statements at the endpoint, for comparing endpoints.
  int Load(const Endpoint& endpoint, TimePoint now) const;

  /// @param endpoint An endpoint of this view.
  /// @param now Current time.
  /// @returns Whether the endpoint's latest status is recent enough for its load and staleness to
  ///     be used.
  bool IsCurrent(const Endpoint& endpoint, TimePoint now) const;

  /// @param endpoint An endpoint of this view.
  /// @param now Current time.
  /// @returns Whether the endpoint failed recently and has not answered since.
  bool IsSuspect(const Endpoint& endpoint, TimePoint now) const;

  /// Checks whether a promotion removed an acknowledged write from the group's log. This can happen
  /// only to a write that was acknowledged while no endpoint but the primary had it.
  /// @param position Log position of the write.
  /// @returns True when a term later than the write's term starts before this position, so that the
  ///     group's log no longer contains the write.
  bool IsLost(LogPosition position) const;

 private:
  /// Index of the last log entry that the primary held at a given time.
  struct Sample {
    TimePoint time;
    uint64_t index = 0;
  };

  Endpoint* FindMutable(const std::string& name);

  GroupState state;
  std::vector<Endpoint> endpoints;
  // Indexes that the current term's primary reported as its last log entry, oldest first.
  std::deque<Sample> samples;
};

}  // namespace poplarmoor
