#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

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

  // Copies of the store.
  Task RunSync();
  void ApplyRegistry(const std::map<std::string, SimulatedEntry>& registry);
  void ApplyClaim(const SimulatedClaim& newer);
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
  Task RunTakeoverSteps(TakeoverReason reason);
  Task OrderMember(TakeoverStep step, TakeoverView* view);
  Task AbandonTakeover(std::shared_ptr<Takeover> takeover);
  Task PublishPhase(SimulatedPhase phase);
  Task Promote(std::shared_ptr<Takeover> takeover, std::string endpoint);
  Task OrderPromotion(std::shared_ptr<Takeover> takeover, std::string endpoint);
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
