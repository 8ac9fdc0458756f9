#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/kernel/simulated_clock.h"
#include "tests/kernel/simulated_daemon.h"
#include "tests/kernel/simulated_group.h"
#include "tests/kernel/simulated_network.h"
#include "tests/kernel/simulated_store.h"
#include "tests/kernel/simulated_world.h"
#include "tests/kernel/takeover_scenario.h"

namespace poplarmoor {

/// Outcome of a simulated takeover.
struct SimulatedOutcome {
  TakeoverScenario scenario;
  // Entries that were acknowledged to callers and that a promoted log lacks; empty: none.
  std::string violation;
  // An endpoint was promoted by an order that was sent before the endpoint lost its log. No
  // daemon can prevent this promotion, and nothing is checked after it.
  bool lost_candidate = false;
  size_t promotions = 0;
  size_t acknowledged = 0;
  size_t in_doubt = 0;
  std::vector<std::string> trace;
};

/// Simulates the takeover of one service on a virtual clock: the endpoints, the platform's
/// promotions and store, and some daemons that pass acknowledgements on to callers and run
/// takeovers. The seed decides about delays and faults.
class TakeoverSimulation : public SimulatedWorld {
 public:
  /// @param seed Decides about the scenario and all delays.
  /// @param defects Rules that the daemons drop.
  /// @param scenario Scenario to simulate; empty: the seed chooses it.
  explicit TakeoverSimulation(uint64_t seed,
                              const TakeoverDefects& defects = {},
                              const std::optional<TakeoverScenario>& scenario = {});
  ~TakeoverSimulation() override = default;

  /// @returns The outcome after about 16 s of simulated time, or at the first violation.
  SimulatedOutcome Run();

  SimulatedClock* Clock() override { return &this->clock; }
  SimulatedNetwork* Network() override { return &this->network; }
  SimulatedGroup* Group() override { return &this->group; }
  SimulatedStore* Store() override { return &this->store; }
  RandomEngine* Random() override { return &this->random; }
  const TakeoverScenario& Scenario() const override { return this->outcome.scenario; }
  const TakeoverDefects& Defects() const override { return this->defects; }
  void Promote(int daemon,
               const std::string& endpoint,
               uint64_t token,
               TimePoint decided,
               std::shared_ptr<SimulatedReply<SimulatedPromotion>> reply) override;
  void OnAcknowledged(int daemon, LogPosition entry) override;
  void OnInDoubt() override { ++this->outcome.in_doubt; }
  void OnHolderStep(SimulatedProcess* process) override;
  void Trace(const std::string& text) override;

 private:
  struct AcknowledgedCommit {
    LogPosition entry;
    TimePoint time;
    int daemon = 0;
  };

  // Carries out a promotion order and returns whether the platform accepts it.
  // `known_until` is the time up to which the daemon that sent the order can know the endpoint's
  // log.
  bool CarryOut(const std::string& endpoint, uint64_t token, TimePoint known_until);
  void TakeEffect(SimulatedGroup::Endpoint* endpoint, int incarnation, TimePoint known_until);
  void Report(const AcknowledgedCommit& commit, const std::string& promoted);
  // Whether the log that was promoted last lacks an entry that some log had before.
  bool IsMissing(LogPosition entry) const;
  // Whether the endpoint that was promoted last still has the log of its promotion.
  bool LeaderKeepsLog() const;
  // Checks that the log of the last leader has all acknowledged commits.
  void CheckLeader();
  void RunReplication();
  void RunHeartbeats();
  void ScheduleFaults();
  void SchedulePrimaryFault();
  void ScheduleStoreCut();
  void ScheduleRestart(SimulatedGroup::Endpoint* endpoint, Duration start);
  Duration Between(Duration low, Duration high);
  bool Chance(size_t percent) { return RandomBelow(&this->random, 100) < percent; }
  SimulatedGroup::Endpoint* RandomReplica();

  TakeoverDefects defects;
  RandomEngine random;
  SimulatedClock clock;
  SimulatedNetwork network;
  SimulatedGroup group;
  SimulatedStore store;
  std::vector<std::unique_ptr<SimulatedDaemon>> daemons;
  SimulatedOutcome outcome;
  std::vector<AcknowledgedCommit> acknowledged;
  uint64_t seen_token = 0;     // Highest token that the platform has seen.
  Duration promotion_time{0};  // Time from a carried out order to the promotion.
  std::map<std::string, TimePoint> last_heartbeat;
  std::vector<uint32_t> promoted_log;  // Log of the last promoted endpoint at its promotion.
  uint64_t promoted_term = 0;
  int holder_faults = 0;
  TimePoint fault_start;
  TimePoint fault_end;
};

}  // namespace poplarmoor
