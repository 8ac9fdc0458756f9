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

/// View of one group at an entry (the daemon role that accepts callers' requests): the group state,
/// the latest status of each endpoint and the number of requests this entry has outstanding there.
class GroupView {
 public:
  /// One endpoint as the entry sees it.
  struct Endpoint {
    EndpointInfo info;
    bool is_primary = false;               // Whether the group state names it as the primary.
    std::optional<EndpointStatus> status;  // Latest known status; none before the first answer.
    TimePoint status_time;                 // When the status arrived.
    int outstanding = 0;                   // Requests sent by this entry and not answered yet.
    std::optional<TimePoint> failed_at;    // Time of its last failure; none once it answers.
  };

  GroupView() = default;
  explicit GroupView(const GroupState& state);

  /// Applies a newer group state. Statuses of endpoints that stay in the group are kept.
  /// @param state State from the configuration store.
  /// @returns False when the state is older (lower term or version) and was ignored.
  bool SetState(const GroupState& state);

  /// Records the status that came with an answer.
  /// @param status Status of an endpoint of this group; others are ignored.
  /// @param now Time of arrival.
  /// @returns Whether the endpoint reports a higher term than the known state, so that the state
  ///     should be fetched again.
  bool OnStatus(const EndpointStatus& status, TimePoint now);

  /// Counts a request as outstanding at an endpoint.
  /// @param endpoint Name of the endpoint.
  void OnSent(const std::string& endpoint);

  /// Stops counting a request that OnSent() counted.
  /// @param endpoint Name of the endpoint.
  /// @param failed True when no answer arrived: routing prefers other endpoints for a while.
  /// @param now Current time.
  void OnDone(const std::string& endpoint, bool failed, TimePoint now);

  /// @returns The group state.
  const GroupState& State() const { return this->state; }

  /// @returns All endpoints, in the order of the group state.
  const std::vector<Endpoint>& Endpoints() const { return this->endpoints; }

  /// @param name Name of an endpoint.
  /// @returns The endpoint, or null when the group has none of this name.
  const Endpoint* Find(const std::string& name) const;

  /// @returns The primary of the current term, or null while electing or when it is leaving.
  const Endpoint* UsablePrimary() const;

  /// Estimates up to which index a replica has replayed by now. Replay continues after the status
  /// was taken: if the replayed state was S old then, the replica has now replayed what the primary
  /// held S ago.
  /// @param endpoint An endpoint of this view.
  /// @param now Current time.
  /// @returns A log index; 0 without a status in the current term.
  uint64_t EstimateReplayed(const Endpoint& endpoint, TimePoint now) const;

  /// @param endpoint An endpoint of this view.
  /// @param now Current time.
  /// @returns Estimated number of statements at the endpoint, to compare endpoints by.
  int Load(const Endpoint& endpoint, TimePoint now) const;

  /// @param endpoint An endpoint of this view.
  /// @param now Current time.
  /// @returns Whether the endpoint's load and staleness are recent enough to be used.
  bool IsCurrent(const Endpoint& endpoint, TimePoint now) const;

  /// @param endpoint An endpoint of this view.
  /// @param now Current time.
  /// @returns Whether the endpoint failed recently and has not answered since.
  bool IsSuspect(const Endpoint& endpoint, TimePoint now) const;

  /// Checks whether a promotion lost the write at a session's position. Only a write that the
  /// primary alone acknowledged can be lost.
  /// @param position Position of an acknowledged write.
  /// @returns True when a later term starts before the position.
  bool IsLost(LogPosition position) const;

 private:
  /// Log index that the primary held at a given time.
  struct Sample {
    TimePoint time;
    uint64_t index = 0;
  };

  Endpoint* FindMutable(const std::string& name);

  GroupState state;
  std::vector<Endpoint> endpoints;
  std::deque<Sample> samples;  // Log indexes of the current term's primary, oldest first.
};

}  // namespace poplarmoor
