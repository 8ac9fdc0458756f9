#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "kernel/failover.h"

namespace poplarmoor {

/// Condition that makes the promotion necessary.
enum class Trigger { kPrimaryPaused, kPrimaryReplicationDown, kOperator };

/// Fault that is injected when the first proposer reaches a given step of its promotion. Faults of
/// the platform, the replica and the network end after a fixed time.
enum class Fault {
  kNone,
  kPlatformDown,
  kPlatformSlow,
  kAnswersLost,  // The platform processes updates, but its answers are lost.
  kSecondProposer,
  kProposerDies,
  // The replica pauses. Afterwards it handles the calls that arrived during the pause, even calls
  // that carry an earlier term.
  kReplicaPaused,
  kReplicaReplicationDown,  // The replica neither sends nor receives log entries.
  kOldPrimaryReturns,
  kMessagesLate,
};
inline constexpr int kFaultCount = 10;
/// Number of steps of a promotion: write the phase `electing`, send `fence` requests to the
/// endpoints, record the new primary, promote it.
inline constexpr int kStepCount = 4;

/// One run of the fault matrix.
struct Scenario {
  Trigger trigger = Trigger::kPrimaryPaused;
  std::array<Fault, 2> faults{Fault::kNone, Fault::kNone};
  // For each fault, the index (from 0) of the promotion's step at which the fault is injected.
  std::array<int, 2> steps{0, 0};
  uint64_t seed = 1;
};

/// Result of one scenario.
struct ScenarioResult {
  size_t acknowledged = 0;
  size_t lost = 0;  // Acknowledged writes that the final primary does not have.
  // Number of terms in which replicas confirmed the writes of two different primaries.
  size_t terms_with_two_primaries = 0;
  bool completed = false;  // The group had a primary and took writes after the faults.
  TimePoint completed_at;
};

/// Simulates, on a virtual clock, a group of three endpoints, the platform and two proposers. Each
/// proposer is a daemon that runs a Failover.
class FailoverHarness {
 public:
  using MakeFailover = std::function<std::unique_ptr<Failover>(const std::string&, RandomEngine*)>;

  /// @param scenario Trigger of the promotion, faults and seed.
  /// @param make Called once for each of the two proposers, with the proposer's name; returns the
  ///     Failover that the proposer runs.
  /// @param endpoints_fence True: an endpoint that accepts a proposer's `fence` request records the
  ///     request's term and then rejects requests of lower terms. False: it accepts the request
  ///     without recording the term, and a promotion may remove entries from the end of its log.
  FailoverHarness(const Scenario& scenario, const MakeFailover& make, bool endpoints_fence);

  ScenarioResult Run();

 private:
  struct Entry {
    uint64_t term = 0;
    uint64_t id = 0;
  };
  struct Endpoint {
    std::string name;
    std::vector<Entry> log;
    uint64_t term = 1;
    std::string proposer;
    bool is_primary = false;
    int primary = -1;     // Index of the endpoint that this one follows; -1: none.
    bool synced = false;  // Whether `log` is a prefix of the log of the term's primary.
    bool paused = false;
    bool replication_down = false;  // The endpoint neither sends nor receives log entries.
    TimePoint next_pull;
    std::vector<std::function<void()>> backlog;  // Calls that arrived during the pause.
  };
  struct Proposer {
    std::unique_ptr<Failover> failover;
    bool alive = true;
    std::map<std::string, TimePoint> answer_times;
  };
  struct Write {
    uint64_t id = 0;
    int endpoint = 0;
    uint64_t term = 0;
    uint64_t index = 0;
    TimePoint expires;
  };
  struct Event {
    TimePoint time;
    uint64_t order = 0;
    std::function<void()> run;
    // Compares in reverse order, so that the priority queue returns the earliest event first.
    bool operator<(const Event& other) const {
      return this->time != other.time ? this->time > other.time : this->order > other.order;
    }
  };

  void After(Duration delay, std::function<void()> run);
  void CallEndpoint(int endpoint, std::function<void()> run);
  void InjectFault(Fault fault);
  void InjectDueFaults(const FailoverAction& action);
  void Perform(int proposer, const FailoverAction& action);
  void PerformUpdate(int proposer, const FailoverAction& action);
  void Answer(int proposer, std::function<void(Failover&)> report, Duration delay);
  EndpointStatus StatusOf(const Endpoint& endpoint) const;
  LogPosition LastOf(const Endpoint& endpoint) const;
  void Replicate();
  void Probe();
  void Detect(int proposer);
  void SendWrites();
  void Confirm();
  bool NeedsPromotion() const;
  int IndexOf(const std::string& name) const;
  Duration Delay();

  Scenario scenario;
  bool endpoints_fence;
  RandomEngine random;
  TimePoint now;
  uint64_t next_order = 0;
  std::priority_queue<Event> events;
  std::array<Endpoint, 3> endpoints;
  std::array<Proposer, 2> proposers;
  GroupState platform_object;  // Group state stored on the platform.
  bool platform_down = false;
  bool platform_slow = false;
  bool answers_lost = false;
  bool messages_late = false;
  int reached_step = -1;  // Index of the first proposer's last step so far; -1: none.
  uint64_t next_write = 1;
  // The unconfirmed write, if any, of each of two owners. After a promotion, the first owner sends
  // its writes to the new primary; the second keeps sending them to the first primary with term 1.
  std::array<std::optional<Write>, 2> writes;
  std::set<uint64_t> acknowledged;
  // By term, the indices of the endpoints whose writes in this term were confirmed by a replica.
  std::map<uint64_t, std::set<int>> confirmed_by;
};

}  // namespace poplarmoor
