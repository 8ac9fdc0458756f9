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
  kRefused,   // The connection was refused or reset: the process does not run.
  kNoAnswer,  // Timeout.
};

inline constexpr NameTable<ProbeOutcome, 3> kProbeOutcomeNames{{{
    {ProbeOutcome::kAnswered, "answered"},
    {ProbeOutcome::kRefused, "refused"},
    {ProbeOutcome::kNoAnswer, "no_answer"},
}}};

/// What a failure detector asks its daemon to do.
enum class DetectorActionKind {
  kProbe,        // Call status over the kept connection.
  kProbeFresh,   // Call status over a fresh connection; report by OnFreshProbe.
  kAskObserver,  // Ask a second daemon to probe; report by OnObservation.
  kDeclare,      // The primary is to be replaced, for `cause`.
};

/// One action of a failure detector.
struct DetectorAction {
  DetectorActionKind kind = DetectorActionKind::kProbe;
  std::string endpoint;
  size_t attempt = 0;  // kAskObserver: number of observers that could not be asked before.
  FailoverCause cause = FailoverCause::kSilent;  // kDeclare.
};

/// Intervals of a failure detector.
struct FailureDetectorOptions {
  Duration probe_interval = 500ms;
  Duration probe_timeout = 400ms;      // After which a probe counts as missed.
  int missed_probes = 2;               // In a row, that raise a suspicion.
  Duration confirm_timeout = 1000ms;   // For the fresh connection and for the second daemon.
  Duration stall_period = 1000ms;      // Without progress of replication.
  Duration role_period = 1500ms;       // Until a primary that lost its role is replaced.
  Duration declare_interval = 1000ms;  // Between two confirmations for one endpoint.
  Duration leaving_patience = 2000ms;  // For the statements that run at a leaving primary.
  size_t max_observers = 3;            // Observers asked in one confirmation.
};

/// Judges the endpoints of one group by the evidence of one monitor. An endpoint that answers
/// within confirm_timeout over a fresh connection is never declared dead, however slow.
class FailureDetector {
 public:
  explicit FailureDetector(FailureDetectorOptions options) : options(options) {}

  /// Sets the endpoints and the primary.
  void SetGroup(const GroupState& group, TimePoint now);

  /// Starts due probes and evaluates timeouts. Call every 50 ms or so.
  void Tick(TimePoint now);

  /// Takes over the status of an endpoint, from any answer, even a late one.
  void OnStatus(const EndpointStatus& status, TimePoint now);

  /// Reports that a kProbe ended without an answer.
  void OnProbeFailed(const std::string& endpoint, ProbeOutcome outcome, TimePoint now);

  /// Reports the outcome of a kProbeFresh. Call OnStatus as well when it was answered.
  void OnFreshProbe(const std::string& endpoint, ProbeOutcome outcome, TimePoint now);

  /// Reports the answer of a second daemon.
  /// @param outcome Its observation, or nothing when the daemon itself did not answer.
  void OnObservation(const std::string& endpoint,
                     std::optional<ProbeOutcome> outcome,
                     TimePoint now);

  /// Takes over a suspicion of an owner or an entry.
  void OnReport(const std::string& endpoint, TimePoint now);

  /// @returns Actions to perform, in order; handed out once.
  std::vector<DetectorAction> TakeActions();

  /// @returns The newest status of an endpoint, or nullptr.
  const EndpointStatus* StatusOf(const std::string& endpoint) const;

  /// @returns Whether the endpoint counts as dead since the last confirmation.
  bool IsDown(const std::string& endpoint) const;

 private:
  /// Evidence on one endpoint.
  struct Evidence {
    std::optional<EndpointStatus> status;
    TimePoint answered;  // Time of the newest answer.
    TimePoint next_probe;
    TimePoint probe_sent;
    bool probing = false;
    int missed = 0;        // Probes in a row.
    bool refused = false;  // The newest failure was a refused connection.
    bool down = false;
    bool confirming = false;
    TimePoint confirm_start;
    TimePoint next_confirm;  // Earliest time of the next confirmation.
    std::optional<ProbeOutcome> fresh;
    std::optional<ProbeOutcome> observed;
    size_t observers_asked = 0;
  };

  Evidence* Find(const std::string& endpoint);
  void Miss(const std::string& endpoint, Evidence* evidence, TimePoint now);
  void Suspect(const std::string& endpoint, Evidence* evidence, TimePoint now);
  void Conclude(const std::string& endpoint, Evidence* evidence, TimePoint now);
  void CheckReplication(TimePoint now);
  void CheckRole(TimePoint now);
  void CheckLeaving(TimePoint now);
  std::optional<uint64_t> ConfirmedIndex(TimePoint now) const;
  void Add(DetectorActionKind kind, const std::string& endpoint);
  void Declare(FailoverCause cause, TimePoint now);

  FailureDetectorOptions options;
  GroupState group;
  std::map<std::string, Evidence> endpoints;
  std::optional<TimePoint> stalled_since;    // Writes are unconfirmed without progress since then.
  uint64_t stalled_index = 0;                // Highest confirmed index at that time.
  std::optional<TimePoint> leaving_since;    // The primary is known to be leaving since then.
  std::optional<TimePoint> misplaced_since;  // The primary answers in another role since then.
  TimePoint next_declare;
  std::vector<DetectorAction> actions;
};

}  // namespace poplarmoor
