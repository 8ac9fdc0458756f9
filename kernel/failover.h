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

/// Outcome of a conditional update of the platform object.
enum class UpdateOutcome {
  kApplied,   // The object has the returned version now.
  kConflict,  // Another update came first; the current state is returned.
  kUnknown,   // The answer was lost: the update may have been applied.
  kNotSent,   // Neither the budget nor the circuit breaker allowed the call, or connecting failed.
};

/// Intervals of a failover.
struct FailoverOptions {
  Duration takeover_delay = 2000ms;      // In phase electing, until another daemon takes over.
  Duration calm_period = 5000ms;         // After a promotion, until the next one.
  Duration fence_retry = 200ms;          // Between two fence calls to one endpoint.
  Duration fence_patience = 500ms;       // For a majority without the old primary.
  Duration role_retry = 300ms;           // Between two promote or follow calls to one endpoint.
  Duration platform_retry = 100ms;       // Before the first repetition of a platform call; doubles.
  Duration platform_retry_cap = 1000ms;  // Upper limit of that delay.
  Duration call_timeout = 3000ms;        // After which a platform call counts as kUnknown.
};

/// Step of a promotion.
enum class FailoverStep {
  kIdle,
  kClaiming,   // Writing phase electing.
  kFencing,    // Collecting grants of a majority.
  kRecording,  // Writing phase serving.
};

inline constexpr NameTable<FailoverStep, 4> kFailoverStepNames{{{
    {FailoverStep::kIdle, "idle"},
    {FailoverStep::kClaiming, "claiming"},
    {FailoverStep::kFencing, "fencing"},
    {FailoverStep::kRecording, "recording"},
}}};

/// Promotion of one group as one daemon attempts it, and the repair of endpoints that missed it.
/// Several daemons may attempt a promotion at once: conditional updates admit one proposer to a
/// term, and a majority of the endpoints has to grant the term before a primary is recorded.
class Failover {
 public:
  /// @param daemon Name of this daemon.
  /// @param options Intervals.
  /// @param random Generator; must outlive the object.
  Failover(std::string daemon, FailoverOptions options, RandomEngine* random);
  virtual ~Failover() = default;

  /// Takes over the newest known state of the group. Older versions are ignored.
  void Learn(const GroupState& group, TimePoint now);

  /// Starts a promotion, unless one is under way or the calm period forbids it.
  /// @returns Whether it was started.
  bool Start(FailoverCause cause, TimePoint now);

  /// Repeats calls that are due and takes over promotions that others did not complete.
  void Tick(TimePoint now);

  /// Reports the outcome of a kUpdate.
  /// @param call Number of the action.
  /// @param outcome Outcome.
  /// @param current State on the platform, for kApplied and kConflict.
  void OnUpdate(uint64_t call, UpdateOutcome outcome, const GroupState& current, TimePoint now);

  /// Reports the outcome of a kRead.
  /// @param call Number of the action.
  /// @param current State on the platform, or nothing when the call failed.
  void OnRead(uint64_t call, const std::optional<GroupState>& current, TimePoint now);

  /// Reports the answer to a kFence.
  /// @param endpoint Endpoint that answered.
  /// @param term Term that the call named.
  /// @param granted Whether the endpoint granted the term to this proposer.
  /// @param last Position of its last log entry.
  void OnFence(const std::string& endpoint,
               uint64_t term,
               bool granted,
               LogPosition last,
               TimePoint now);

  /// Reports the status of an endpoint: repeats promote and follow where they were missed.
  void OnStatus(const EndpointStatus& status, TimePoint now);

  /// Reports that an endpoint knows a higher term than the group state here.
  void OnHigherTerm(uint64_t term, TimePoint now);

  /// @returns Actions to perform, in order; handed out once.
  std::vector<FailoverAction> TakeActions();

  /// @returns The newest known state of the group.
  const GroupState& Group() const { return this->known; }

  /// @returns The step of this daemon's own promotion.
  FailoverStep Step() const { return this->current_step; }

 protected:
  /// @returns Number of grants that a promotion needs. Tests weaken it.
  virtual size_t FenceQuorum() const { return this->known.endpoints.size() / 2 + 1; }

  /// @returns Whether an endpoint at position `a` is the better primary than one at `b`.
  virtual bool IsBetter(const LogPosition& a, const LogPosition& b) const { return a > b; }

 private:
  /// Platform call in flight, or waiting for its repetition.
  struct PlatformCall {
    bool active = false;
    bool read = false;
    uint64_t number = 0;
    TimePoint deadline;
    TimePoint next;  // Of the repetition, when not active.
    bool repeat = false;
  };

  void Adopt(const GroupState& group, TimePoint now);
  void EnterFencing(TimePoint now);
  void EnterRecording(TimePoint now);
  void Finish();
  void SendUpdate(TimePoint now);
  void SendRead(TimePoint now);
  void RepeatLater(bool read, TimePoint now);
  void SendFences(TimePoint now);
  void EvaluateGrants(TimePoint now);
  void Establish(const EndpointInfo& endpoint, TimePoint now);
  void Announce();
  bool IsMine(const GroupState& group) const;
  Duration TakeoverDelay() const;
  const EndpointInfo* FindEndpoint(const std::string& name) const;

  std::string daemon;
  FailoverOptions options;
  RandomEngine* random;
  GroupState known;
  GroupState proposal;  // State that the current update writes.
  FailoverStep current_step = FailoverStep::kIdle;
  FailoverCause cause = FailoverCause::kSilent;
  bool primary_answered = false;  // Since the start; ends a claim that was not applied.
  PlatformCall platform;
  Duration platform_delay{0};
  uint64_t next_call = 1;
  std::map<std::string, LogPosition> grants;
  std::string replaced;  // Primary that the promotion replaces.
  TimePoint fencing_since;
  std::map<std::string, TimePoint> next_fence;
  std::map<std::string, TimePoint> next_role;
  TimePoint electing_since;
  Duration takeover_jitter{0};
  std::optional<TimePoint> promoted;  // Time of the newest promotion, if one was seen.
  std::vector<FailoverAction> actions;
};

}  // namespace poplarmoor
