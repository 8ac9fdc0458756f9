#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/log_position.h"
#include "kernel/random.h"
#include "tests/kernel/simulated_clock.h"
#include "tests/kernel/simulated_network.h"

namespace poplarmoor {

/// Administrative order to a simulated endpoint.
enum class SimulatedOrder { kStatus, kPause, kResume, kStepDown };

/// Answer of a simulated endpoint to an order.
struct SimulatedReport {
  bool answered = false;
  bool is_primary = false;
  uint64_t term = 0;
  LogPosition received;
  uint64_t active_pause_term = 0;
  int incarnation = 0;  // Number of starts of the endpoint before.
};

/// Answer of a simulated primary to a write.
struct SimulatedCommit {
  bool acknowledged = false;
  bool read_only = false;  // The endpoint is not the primary.
  LogPosition entry;       // Entry of the commit.
  LogPosition end;         // End of the primary's log when it acknowledged the commit.
};

/// The endpoints of one service and the replication between them, as the users' platform describes
/// them: a commit is acknowledged once any replica has received it, and a promotion takes effect
/// for all endpoints at once.
class SimulatedGroup {
 public:
  struct Endpoint {
    std::string id;
    int node = 0;
    bool running = true;
    bool gone = false;  // The endpoint has left for good.
    bool leaving = false;
    bool registered = true;
    bool primary = false;
    bool deaf = false;  // The endpoint receives no log entries.
    uint64_t term = 1;  // Newest term that the endpoint knows.
    uint64_t pause_term = 0;
    int incarnation = 0;
    std::vector<uint32_t> log;          // Terms of the entries.
    std::optional<TimePoint> log_lost;  // Last stop without the log.
    TimePoint stopped;                  // Last stop.

    LogPosition End() const {
      return this->log.empty() ? LogPosition{} : LogPosition{this->log.back(), this->log.size()};
    }
    bool Has(LogPosition entry) const {
      return this->log.size() >= entry.index && this->log[entry.index - 1] == entry.term;
    }
  };

  SimulatedGroup(SimulatedClock* clock, SimulatedNetwork* network, RandomEngine* random)
      : clock(clock), network(network), random(random) {}

  /// Adds an endpoint. The first one is the primary.
  Endpoint* Add(std::vector<uint32_t> log);

  /// Carries out an order at once.
  SimulatedReport Execute(SimulatedOrder order, uint64_t term, Endpoint* endpoint);

  /// Appends a write to the log of the primary.
  /// @param answer Called at the primary when it answers; never called if it crashes before.
  void Write(Endpoint* endpoint, std::function<void(const SimulatedCommit&)> answer);

  void Crash(Endpoint* endpoint);
  /// Starts a stopped endpoint. It leads again if it led before and no other one was promoted.
  void Restart(Endpoint* endpoint, bool keeps_log);
  /// Ends an endpoint for good. Its log is gone with it.
  void Remove(Endpoint* endpoint);
  /// Makes an endpoint the primary of the next term with the log that it has.
  void Promote(Endpoint* endpoint);
  /// Sends the primary's log to the replicas that lack entries. Called at regular intervals.
  void Replicate();

  /// @returns Whether the entry was only in logs that were lost in restarts or with their
  /// endpoints.
  bool IsDestroyed(LogPosition entry) const { return this->destroyed.contains(entry); }

  Endpoint* Find(const std::string& id);
  std::vector<std::unique_ptr<Endpoint>>& Endpoints() { return this->endpoints; }
  /// @returns The endpoint that was promoted last, or the first one.
  Endpoint* Leader() const { return this->leader; }

 private:
  struct WaitingCommit {
    LogPosition entry;
    std::function<void(const SimulatedCommit&)> answer;
  };

  void Send(Endpoint* primary, Endpoint* replica);
  void Acknowledge(Endpoint* primary, int incarnation, uint64_t term, uint64_t received);
  bool Receives(const Endpoint& primary, const Endpoint& replica) const;
  void StopLeading(Endpoint* endpoint);
  void LoseLog(Endpoint* endpoint);

  SimulatedClock* clock;
  SimulatedNetwork* network;
  RandomEngine* random;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  Endpoint* leader = nullptr;
  std::set<LogPosition> destroyed;
  std::vector<WaitingCommit> waiting;  // Commits that the present primary has not acknowledged.
};

}  // namespace poplarmoor
