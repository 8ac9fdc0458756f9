#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/endpoint_status.h"
#include "kernel/failover_action.h"
#include "kernel/failover_cause.h"
#include "kernel/group_state.h"
#include "kernel/log_position.h"
#include "kernel/random.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Outcome of a conditional update of the group object on the platform.
enum class UpdateOutcome {
  kApplied,   // The update was applied; the object's new state is returned.
  kConflict,  // Another update came first; the object's current state is returned.
  kUnknown,   // The answer was lost; the update may have been applied.
  kNotSent,   // The call budget or circuit breaker blocked the call, or connecting failed.
};

/// Intervals and timeouts of a failover.
struct FailoverOptions {
  // Time that a group stays in phase electing before another daemon starts a new promotion. Each
  // promotion that is not completed lengthens this time, up to four times this value. A random time
  // of up to half this value is added.
  Duration takeover_delay = 2000ms;
  // Minimum time between two promotions of the group. The causes kGone, kOperator and kTakeover do
  // not wait for it.
  Duration min_promotion_interval = 5000ms;
  Duration fence_retry_interval = 200ms;  // Time between two `fence` calls to one endpoint.
  // Longest time, from the start of step kFencing, for which a promotion waits until a majority of
  // the endpoints has granted the new term without counting the old primary. After this time, a
  // majority that includes the old primary suffices.
  Duration replica_majority_timeout = 500ms;
  // Minimum time between two `promote` or `follow` calls to one endpoint.
  Duration role_retry_interval = 300ms;
  // Delay of the first retry of a platform call; each further retry doubles the delay.
  Duration platform_retry_delay = 100ms;
  Duration max_platform_retry_delay = 1000ms;  // Upper limit of the delay between two retries.
  // Longest wait for the answer to a platform call. Then the call counts as lost, and an update is
  // handled as one with the outcome kUnknown.
  Duration call_timeout = 3000ms;
};

/// Step of a promotion.
enum class FailoverStep {
  kIdle,
  kClaiming,   // Writing to the platform that the group is in phase electing.
  kFencing,    // Collecting grants of the new term from a majority of the endpoints.
  kRecording,  // Writing the new primary and phase serving to the platform.
};

inline constexpr NameTable<FailoverStep, 4> kFailoverStepNames{{{
    {FailoverStep::kIdle, "idle"},
    {FailoverStep::kClaiming, "claiming"},
    {FailoverStep::kFencing, "fencing"},
    {FailoverStep::kRecording, "recording"},
}}};

/// Promotes a new primary for one group on behalf of one daemon, and repeats `promote` and
/// `follow` calls to endpoints that missed them. Several daemons may attempt a promotion at the
/// same time: conditional updates of the group object admit one proposer per term, and a majority
/// of the endpoints has to grant the term before a primary is recorded.
class Failover {
 public:
  /// @param daemon Name of this daemon.
  /// @param options Intervals and timeouts.
  /// @param random Random number generator; must outlive this object.
  Failover(std::string daemon, FailoverOptions options, RandomEngine* random);
  virtual ~Failover() = default;

  /// Applies a state of the group if it is not older than the known one.
  void UpdateGroup(const GroupState& group, TimePoint now);

  /// Starts a promotion unless one is in progress. For the causes kSilent, kStalled and kLeaving,
  /// the last promotion must also be at least min_promotion_interval ago.
  /// @returns Whether a promotion was started.
  bool Start(FailoverCause cause, TimePoint now);

  /// Retries the calls that are due. Starts a promotion with cause kTakeover if this daemon
  /// performs none and the group has been in phase electing for the takeover delay.
  void Tick(TimePoint now);

  /// Reports the outcome of a kUpdate action.
  /// @param call Call number of the action.
  /// @param outcome Outcome of the update.
  /// @param current State on the platform, for kApplied and kConflict.
  void OnUpdate(uint64_t call, UpdateOutcome outcome, const GroupState& current, TimePoint now);

  /// Reports the outcome of a kRead action.
  /// @param call Call number of the action.
  /// @param current State on the platform, or nothing when the call failed.
  void OnRead(uint64_t call, const std::optional<GroupState>& current, TimePoint now);

  /// Reports the answer to a kFence action.
  /// @param endpoint Endpoint that answered.
  /// @param term Term in the `fence` call.
  /// @param granted Whether the endpoint granted the term to this proposer.
  /// @param last Position of the endpoint's last log entry.
  void OnFence(const std::string& endpoint,
               uint64_t term,
               bool granted,
               LogPosition last,
               TimePoint now);

  /// Processes the status of an endpoint and repeats the `promote` or `follow` call if the status
  /// shows that the endpoint missed it.
  void OnStatus(const EndpointStatus& status, TimePoint now);

  /// Reports a term that an endpoint knows. If this term is higher than that of the known group
  /// state, the group object is read again, unless a promotion or platform call is in progress.
  void OnHigherTerm(uint64_t term, TimePoint now);

  /// @returns Actions in the order in which they must be performed; each is returned once.
  std::vector<FailoverAction> TakeActions();

  /// @returns The newest known state of the group.
  const GroupState& Group() const { return this->known_group; }

  /// @returns Current step of the promotion that this daemon performs for the group; kIdle if it
  ///     performs no promotion.
  FailoverStep Step() const { return this->current_step; }

 protected:
  /// @returns Number of endpoints that must grant the term before a promotion records a primary.
  ///     Tests override it with unsafe values.
  virtual size_t FenceQuorum() const { return this->known_group.endpoints.size() / 2 + 1; }

  /// @returns Whether an endpoint whose log ends at `a` is a better primary than one whose log
  ///     ends at `b`.
  virtual bool IsBetter(const LogPosition& a, const LogPosition& b) const { return a > b; }

 private:
  /// The platform call that is in flight or waits for its retry.
  struct PlatformCall {
    bool active = false;  // The call is in flight.
    bool read = false;    // The call reads the group object; otherwise it updates the object.
    uint64_t number = 0;
    TimePoint deadline;
    TimePoint retry_at;  // Time of the next retry, when no call is in flight.
    bool retry_pending = false;
  };

  void ApplyNewerState(const GroupState& group, TimePoint now);
  void EnterFencing(TimePoint now);
  void EnterRecording(TimePoint now);
  void Finish();
  void SendUpdate(TimePoint now);
  void SendRead(TimePoint now);
  void ScheduleRetry(bool read, TimePoint now);
  void SendFences(TimePoint now);
  void EvaluateGrants(TimePoint now);
  void AssignRole(const EndpointInfo& endpoint, TimePoint now);
  void Announce();
  bool IsOwnProposal(const GroupState& group) const;
  Duration TakeoverDelay() const;
  const EndpointInfo* FindEndpoint(const std::string& name) const;

  std::string daemon;
  FailoverOptions options;
  RandomEngine* random;
  GroupState known_group;
  GroupState proposal;  // Group state that this daemon's promotion writes to the platform.
  FailoverStep current_step = FailoverStep::kIdle;
  FailoverCause cause = FailoverCause::kSilent;
  // True if the primary answered after a promotion with cause kGone or kSilent had begun. That
  // promotion is cancelled if its update to phase electing cannot be sent.
  bool primary_answered = false;
  PlatformCall platform;
  Duration platform_delay{0};
  uint64_t next_call = 1;
  // Position of the last log entry of each endpoint that granted the term, by endpoint name.
  std::map<std::string, LogPosition> grants;
  // Endpoint that was the primary before this daemon's promotion and is replaced by it.
  std::string replaced_primary;
  TimePoint fencing_since;
  std::map<std::string, TimePoint> next_fence;
  std::map<std::string, TimePoint> next_role;
  TimePoint electing_since;
  Duration takeover_jitter{0};
  // When this daemon last saw the group get a new primary; empty: not yet.
  std::optional<TimePoint> last_promotion;
  std::vector<FailoverAction> actions;
};

}  // namespace poplarmoor
