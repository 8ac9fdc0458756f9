#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/commit_check.h"
#include "kernel/takeover_plan.h"
#include "tests/kernel/simulated_world.h"

namespace poplarmoor {

/// A daemon that commits writes for callers and runs takeovers. Its decisions are those of the
/// kernel, and it acts on them as session/takeover_controller*.cc does.
class SimulatedDaemon {
 public:
  /// @param world Must outlive this object.
  /// @param number Number of the daemon, from 0.
  SimulatedDaemon(SimulatedWorld* world, int number);

  /// Starts the daemon's loops.
  void Start();

  int Node() const { return SimulatedNetwork::kFirstDaemon + this->number; }

 private:
  struct Member {
    bool departed = false;
    bool leaving = false;
    // Last answer to VerifyCommit().
    std::optional<LogPosition> received;
    TimePoint connected_since;
    bool asking_status = false;
    TimePoint next_status;
    Duration status_pause{0};
  };

  /// A connection to an endpoint.
  struct Connection {
    int incarnation = -1;
    TimePoint opened;
  };

  /// An endpoint's answer as this daemon received it.
  struct Status {
    SimulatedReport report;
    TimePoint connected_since;
  };

  /// A takeover that this daemon runs.
  struct Takeover {
    SimulatedClaim held;
    TakeoverView view;
    std::vector<std::string> paused;
    bool promoting = false;
    bool guarding = false;
  };

  /// Outcome of a promotion order.
  enum class PromotionResult { kDone, kRefused, kRetry, kLost };

  using Task = SimulatedTask<bool>;

  SimulatedClock::Sleeper Sleep(Duration delay);
  TimePoint Now() { return this->world->Clock()->Now(); }
  Duration Between(Duration low, Duration high);
  bool Chance(size_t percent);
  void Trace(const std::string& text);

  // Statements.
  Task RunWrites(TimePoint until);
  void Write();
  void OnCommit(uint64_t write, const std::string& endpoint, const SimulatedCommit& commit);

  // Verification of commits; compare session/commit_verifier.cc.
  Task VerifyCommit(std::string primary, LogPosition entry, LogPosition position, Duration limit);
  CommitView MakeCommitView(const std::string& primary, LogPosition position);
  void AskMembers(const CommitView& view, Duration elapsed);
  Task AskMember(std::string endpoint);
  Task ReadClaim();

  // Copies of the store.
  Task RunSync();
  void ApplyRegistry(const std::map<std::string, SimulatedEntry>& registry);
  void ApplyClaim(const SimulatedClaim& newer);
  // Candidates whose promotion may still take place beside the lead of `primary`.
  std::vector<std::string> PendingCandidates(const std::string& primary, uint64_t term) const;
  bool HasOrderedPromotion() const;
  bool HasTakeoverInProgress() const;
  void NoteClaimVerified(TimePoint verified);
  Task RecordMembers();
  SimulatedTask<uint64_t> StoreClaim(SimulatedClaim claim, uint64_t expected);
  SimulatedTask<std::optional<uint64_t>> Put(SimulatedClaim claim, uint64_t expected);

  // Monitoring.
  Task RunMonitor();
  Task ProbePrimary();
  Task FindPrimary();
  void SetPrimary(const std::string& endpoint, uint64_t term);
  void ClearPrimary();
  std::shared_ptr<SimulatedReply<Status>> Send(SimulatedOrder order,
                                               uint64_t term,
                                               const std::string& endpoint,
                                               Duration timeout);
  SimulatedTask<std::vector<MemberStatus>> CollectStatuses(Duration timeout);

  // Takeovers.
  bool IsClaimed();
  bool IsHeld(const Takeover& takeover) const;
  bool IsCurrent(const TakeoverView& view) const;
  void StartTakeover(TakeoverReason reason);
  Task RunTakeover(TakeoverReason reason);
  Task ClaimTakeover();
  // Returns whether the takeover goes on under a new claim.
  Task RunTakeoverSteps(TakeoverReason reason);
  Task OrderMember(TakeoverStep step, TakeoverView* view);
  Task AbandonTakeover(std::shared_ptr<Takeover> takeover);
  Task PublishPhase(SimulatedPhase phase, std::vector<OrderedPromotion> ordered);
  SimulatedTask<PromotionResult> Promote(std::shared_ptr<Takeover> takeover, std::string endpoint);
  SimulatedTask<PromotionResult> OrderPromotion(std::shared_ptr<Takeover> takeover,
                                                std::string endpoint);
  Task HasLog(OrderedPromotion promotion);
  Task AwaitPromotion(std::string endpoint);
  Task ForgetEarlierOrders(std::shared_ptr<Takeover> takeover);
  Task GuardPromotion(std::shared_ptr<Takeover> takeover, std::string candidate);

  SimulatedWorld* world;
  int number;
  SimulatedProcess process;
  std::map<std::string, Member> members;
  std::map<std::string, Connection> connections;
  std::map<uint64_t, TimePoint> commits;  // When each write without an answer was sent.
  uint64_t next_write = 1;
  SimulatedClaim claim;  // Newest claim known.
  TimePoint claim_seen;
  std::optional<TimePoint> calm_at;  // Latest time without a takeover in progress.
  bool reading_claim = false;
  TimePoint next_claim_read;
  TimePoint resume_pending_until;
  std::string primary;  // Endpoint believed to be the primary; empty: none.
  std::string old_primary;
  uint64_t term = 0;
  TimePoint primary_since;
  TimePoint last_answer;
  LogPosition newest;  // Newest position that a primary is known to have had.
  bool probing = false;
  bool primary_down = false;
  bool finding_primary = false;
  bool taking_over = false;
  bool recording = false;
  std::optional<TimePoint> record_due;
};

}  // namespace poplarmoor
