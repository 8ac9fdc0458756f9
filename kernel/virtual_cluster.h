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

/// Shape of a VirtualCluster.
struct VirtualClusterOptions {
  size_t members = 9;
  size_t failure_domains = 3;
  Duration delay = 1ms;         // One way, between any two members.
  double loss = 0.0;            // Share of messages that are lost, 0 to 1.
  Duration tick = 100ms;        // Interval of Tick() calls.
  uint64_t seed = 1;            // Of the generator.
  bool know_each_other = true;  // Members start with a complete table.
  MembershipOptions membership;
  ConfigSpreadOptions spread;
};

/// Membership and configuration of many daemons in one process, on a virtual clock and a network
/// without I/O. Tests and the benchmark of the control plane run it.
class VirtualCluster {
 public:
  /// One daemon.
  struct Node {
    Member self;  // As of its newest start.
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ConfigStore> store;
    std::unique_ptr<ConfigSpread> spread;
    bool running = true;
    bool paused = false;
    std::vector<GossipMessage> gossip_backlog;  // Arrived while paused.
    std::vector<ConfigMessage> config_backlog;
    uint64_t sent_messages = 0;
    uint64_t sent_bytes = 0;
  };
  using MakeStore = std::function<std::unique_ptr<ConfigStore>()>;

  /// @param options Shape.
  /// @param make_store Creates the store of each daemon; by default a ConfigStore.
  explicit VirtualCluster(const VirtualClusterOptions& options, MakeStore make_store = nullptr);

  /// Advances the virtual clock.
  void Run(Duration duration);

  /// Runs until a condition holds.
  /// @param condition Checked after every tick.
  /// @param limit Longest virtual time.
  /// @returns The virtual time it took, or `limit` when the condition never held.
  Duration RunUntil(const std::function<bool()>& condition, Duration limit);

  /// Sets a function that says whether messages from one member to another are cut.
  void SetCut(std::function<bool(size_t from, size_t to)> cut) { this->is_cut = std::move(cut); }

  /// Ends a daemon without notice.
  void Kill(size_t index);

  /// Starts a daemon again under its old name, with a higher incarnation and without any state.
  void Restart(size_t index);

  /// Pauses a daemon, or resumes it. Messages to it are delivered when it resumes.
  void SetPaused(size_t index, bool paused);

  /// Publishes units at a daemon, as if it had read them from the platform.
  void Publish(size_t index, const std::vector<ConfigUnit>& units);

  /// Sends what the daemon has queued, for example after Leave().
  void Flush(size_t index);

  /// @returns Number of running daemons that hold `subject` in a state for which `holds` is true.
  size_t CountViews(size_t subject, const std::function<bool(const Member*)>& holds) const;

  /// @returns Whether every running daemon holds every running daemon alive and no other.
  bool AllAgree() const;

  /// @returns Whether all running daemons have equal configuration.
  bool ConfigConverged() const;

  Node& GetNode(size_t index) { return this->nodes[index]; }
  const Node& GetNode(size_t index) const { return this->nodes[index]; }
  size_t size() const { return this->nodes.size(); }
  TimePoint Now() const { return this->time; }

 private:
  /// A message on its way.
  struct Delivery {
    TimePoint time;
    uint64_t order = 0;
    size_t to = 0;
    std::variant<GossipMessage, ConfigMessage> message;
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
  std::function<bool(size_t, size_t)> is_cut;
  std::priority_queue<Delivery> deliveries;
  uint64_t next_order = 0;
  TimePoint time;
};

}  // namespace poplarmoor
