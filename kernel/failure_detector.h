#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/endpoint_status.h"
#include "kernel/failover_cause.h"
#include "kernel/group_state.h"
#include "kernel/name_table.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Outcome of a status call to an endpoint.
enum class ProbeOutcome {
  kAnswered,
  kRefused,   // The connection was refused or reset: the process is not running.
  kNoAnswer,  // The call timed out.
};

inline constexpr NameTable<ProbeOutcome, 3> kProbeOutcomeNames{{{
    {ProbeOutcome::kAnswered, "answered"},
    {ProbeOutcome::kRefused, "refused"},
    {ProbeOutcome::kNoAnswer, "no_answer"},
}}};

/// Kind of an action that a FailureDetector requests from its daemon.
enum class DetectorActionKind {
  kProbe,  // Request the status over the existing connection; report by OnStatus or OnProbeFailed.
  kProbeFresh,      // Request the status over a new connection; report by OnFreshProbe.
  kAskObserver,     // Ask a second daemon to probe the endpoint; report by OnObservation.
  kReplacePrimary,  // Replace the primary, for the reason `cause`.
};

/// Action that a FailureDetector requests from its daemon.
struct DetectorAction {
  DetectorActionKind kind = DetectorActionKind::kProbe;
  std::string endpoint;
  // Number of other daemons that were already asked to probe the endpoint and did not answer this
  // daemon; set for kAskObserver.
  size_t attempt = 0;
  // Reason for the failover; set for kReplacePrimary.
  FailoverCause cause = FailoverCause::kSilent;
};

/// Intervals, timeouts and limits of a FailureDetector.
struct FailureDetectorOptions {
  Duration probe_interval = 500ms;
  Duration probe_timeout = 400ms;  // Time after which a probe counts as missed.
  // Number of consecutive missed probes after which a confirmation starts: the endpoint is probed
  // over a new connection and by a second daemon.
  int missed_probes = 2;
  // Time that a confirmation waits for the endpoint's answer over a new connection and for the
  // second daemon's answer.
  Duration confirm_timeout = 1000ms;
  // Longest time for which the primary may have unconfirmed writes while no further write reaches a
  // majority of the endpoints. After this time, the primary is replaced (kStalled).
  Duration stall_timeout = 1000ms;
  // Longest time for which the recorded primary may answer without the primary role. After this
  // time, it is replaced (kGone).
  Duration wrong_role_timeout = 1500ms;
  // Minimum time between two confirmations (checks over a new connection and by a second daemon) of
  // one endpoint, and between two kReplacePrimary actions.
  Duration declare_interval = 1000ms;
  // Longest wait for the running statements of a leaving primary to end. After this time, the
  // primary is replaced even if statements are still running.
  Duration leaving_timeout = 2000ms;
  // Maximum number of other daemons that one confirmation asks, one after the other, to probe the
  // endpoint.
  size_t max_observers = 3;
};

/// Detects from the probes of one monitoring daemon which endpoints of a group have failed and when
/// the primary has to be replaced. After missed probes, a refused connection or a reported
/// suspicion, a confirmation checks the endpoint over a new connection and through a second daemon,
/// the observer. An endpoint that answers within confirm_timeout over a new connection is never
/// declared dead, however slow it is.
class FailureDetector {
 public:
  explicit FailureDetector(FailureDetectorOptions options) : options(options) {}

  /// Sets the group with its endpoints and its primary.
  void SetGroup(const GroupState& group, TimePoint now);

  /// Starts the probes that are due and evaluates timeouts. Call about every 50 ms.
  void Tick(TimePoint now);

  /// Processes the status in any answer of an endpoint, even one that arrives after probe_timeout.
  void OnStatus(const EndpointStatus& status, TimePoint now);

  /// Reports that a kProbe action ended without an answer.
  void OnProbeFailed(const std::string& endpoint, ProbeOutcome outcome, TimePoint now);

  /// Reports the outcome of a kProbeFresh action. If the probe was answered, call OnStatus as well.
  void OnFreshProbe(const std::string& endpoint, ProbeOutcome outcome, TimePoint now);

  /// Reports the answer of a second daemon to a kAskObserver action.
  /// @param outcome Outcome of the second daemon's probe, or nothing when that daemon did not
  ///     answer.
  void OnObservation(const std::string& endpoint,
                     std::optional<ProbeOutcome> outcome,
                     TimePoint now);

  /// Reports that an owner or entry daemon suspects the endpoint to have failed; starts a
  /// confirmation.
  void OnSuspicion(const std::string& endpoint, TimePoint now);

  /// @returns Actions in the order in which they must be performed; each is returned once.
  std::vector<DetectorAction> TakeActions();

  /// @returns The latest status of an endpoint, or nullptr when there is none.
  const EndpointStatus* StatusOf(const std::string& endpoint) const;

  /// @returns Whether a confirmation found the endpoint dead and the endpoint has not answered
  ///     since.
  bool IsDown(const std::string& endpoint) const;

 private:
  /// Probe results of one endpoint and the state of its confirmation.
  struct EndpointHealth {
    std::optional<EndpointStatus> status;
    TimePoint answered_at;  // Time of the latest answer.
    TimePoint next_probe;
    TimePoint probe_sent;
    bool probing = false;
    int missed = 0;        // Consecutive missed probes.
    bool refused = false;  // True if a probe was refused since the latest answer.
    bool down = false;
    bool confirming = false;
    TimePoint confirm_start;
    TimePoint next_confirm;  // Earliest time of the next confirmation.
    std::optional<ProbeOutcome> fresh_outcome;
    std::optional<ProbeOutcome> observer_outcome;
    size_t observers_asked = 0;
  };

  EndpointHealth* Find(const std::string& endpoint);
  void RecordMissedProbe(const std::string& endpoint,
                         EndpointHealth* endpoint_health,
                         TimePoint now);
  void StartConfirmation(const std::string& endpoint,
                         EndpointHealth* endpoint_health,
                         TimePoint now);
  void EvaluateConfirmation(const std::string& endpoint,
                            EndpointHealth* endpoint_health,
                            TimePoint now);
  void CheckReplication(TimePoint now);
  void CheckRole(TimePoint now);
  void CheckLeaving(TimePoint now);
  std::optional<uint64_t> MajorityIndex(TimePoint now) const;
  void AddAction(DetectorActionKind kind, const std::string& endpoint);
  void Declare(FailoverCause cause, TimePoint now);

  FailureDetectorOptions options;
  GroupState group;
  std::map<std::string, EndpointHealth> endpoints;
  // Start of the current stall: since then, the primary has had writes that no majority has
  // received, and MajorityIndex() has not grown. Empty while no such write is known.
  std::optional<TimePoint> stalled_since;
  // Highest log index that a majority of the endpoints had received at stalled_since.
  uint64_t stalled_index = 0;
  // When the primary was first known to be leaving; empty: it is not leaving.
  std::optional<TimePoint> leaving_since;
  // When the recorded primary was first seen without the primary role; empty: it has the role.
  std::optional<TimePoint> wrong_role_since;
  TimePoint next_declare;
  std::vector<DetectorAction> actions;
};

}  // namespace poplarmoor
