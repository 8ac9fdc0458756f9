#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "kernel/config_spread.h"
#include "kernel/config_store.h"
#include "kernel/membership.h"
#include "kernel/random.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Size, network and protocol options of a VirtualCluster.
struct VirtualClusterOptions {
  size_t members = 9;
  size_t failure_domains = 3;
  Duration delay = 1ms;               // One-way network delay between any two members.
  double loss = 0.0;                  // Probability that a message is lost, 0 to 1.
  Duration tick = 100ms;              // Interval of Tick() calls.
  uint64_t seed = 1;                  // Seed of the random generator.
  bool start_with_full_table = true;  // Members start with a complete member table.
  MembershipOptions membership;
  ConfigSpreadOptions spread;
};

/// Simulates the membership and configuration of many daemons in one process, with a virtual clock
/// and a simulated network. Used by tests and by the control plane benchmark.
class VirtualCluster {
 public:
  /// One simulated daemon.
  struct Node {
    Member self;  // The daemon's description as of its latest start.
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ConfigStore> store;
    std::unique_ptr<ConfigSpread> spread;
    bool running = true;
    bool paused = false;
    std::vector<GossipMessage> gossip_backlog;  // Gossip that arrived during a pause.
    std::vector<ConfigMessage> config_backlog;  // Configuration that arrived during a pause.
    uint64_t sent_messages = 0;
    uint64_t sent_bytes = 0;
  };
  using MakeStore = std::function<std::unique_ptr<ConfigStore>()>;

  /// @param options Options of all members.
  /// @param make_store Creates the configuration store of each daemon; by default a ConfigStore.
  explicit VirtualCluster(const VirtualClusterOptions& options, MakeStore make_store = nullptr);

  /// Runs the simulation for a virtual duration.
  void Run(Duration duration);

  /// Runs until a condition holds.
  /// @param condition Checked after every tick.
  /// @param limit Maximum virtual time to run.
  /// @returns The virtual time until the condition held, or `limit` if it never did.
  Duration RunUntil(const std::function<bool()>& condition, Duration limit);

  /// Sets a function that returns whether the network drops messages from one member to another.
  void SetPartition(std::function<bool(size_t from, size_t to)> drops) {
    this->is_partitioned = std::move(drops);
  }

  /// Stops a daemon without any announcement.
  void Kill(size_t index);

  /// Restarts a daemon under its old name, with a higher incarnation, an empty store and a member
  /// table that lists only the daemon itself.
  void Restart(size_t index);

  /// Pauses or resumes a daemon. Messages that arrive during the pause are delivered when it
  /// ends.
  void SetPaused(size_t index, bool paused);

  /// Publishes units at a daemon, as if it had read them from the platform.
  void Publish(size_t index, const std::vector<ConfigUnit>& units);

  /// Sends the messages that the daemon has queued, for example after Leave().
  void Flush(size_t index);

  /// @param subject Index of a member.
  /// @param matches Called with each running daemon's member table entry of `subject`, or nullptr
  ///     if that daemon's table has none.
  /// @returns Number of running daemons for whose entry `matches` returns true.
  size_t CountViews(size_t subject, const std::function<bool(const Member*)>& matches) const;

  /// @returns Whether every running daemon's table lists exactly the running daemons as live.
  bool AllAgree() const;

  /// @returns Whether all running daemons store the same configuration.
  bool ConfigConverged() const;

  Node& GetNode(size_t index) { return this->nodes[index]; }
  const Node& GetNode(size_t index) const { return this->nodes[index]; }
  size_t size() const { return this->nodes.size(); }
  TimePoint Now() const { return this->time; }

 private:
  /// A message in transit.
  struct Delivery {
    TimePoint time;
    // Number of the message. Of two messages with the same `time`, the lower number arrives first.
    uint64_t order = 0;
    size_t to = 0;
    std::variant<GossipMessage, ConfigMessage> message;
    // Reversed, so that the priority queue returns the earliest delivery first.
    bool operator<(const Delivery& other) const {
      return this->time != other.time ? this->time > other.time : this->order > other.order;
    }
  };

  void Start(size_t index, uint64_t incarnation);
  void Deliver(size_t index, const GossipMessage& message);
  void Deliver(size_t index, const ConfigMessage& message);
  void Post(size_t from, const std::string& address, Delivery delivery, size_t bytes);
  void Step();

  VirtualClusterOptions options;
  MakeStore make_store;
  RandomEngine random;
  std::vector<Node> nodes;
  std::unordered_map<std::string, size_t> by_address;
  std::function<bool(size_t, size_t)> is_partitioned;
  std::priority_queue<Delivery> deliveries;
  uint64_t next_order = 0;
  TimePoint time;
};

}  // namespace poplarmoor
