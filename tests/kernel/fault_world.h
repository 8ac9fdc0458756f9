#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "kernel/confirmation_tracker.h"
#include "kernel/connection_pool.h"
#include "kernel/request_machine.h"
#include "kernel/session_positions.h"
#include "kernel/transaction_table.h"
#include "tests/kernel/fake_endpoint.h"
#include "tests/kernel/fixtures.h"

namespace poplarmoor {

/// What goes wrong.
enum class Fault {
  kEndpointCrash,     // The endpoint's process ends; its log stays. A promotion follows.
  kSilentConnection,  // All open connections of the endpoint deliver nothing any more.
  kLateAnswer,        // The answer arrives after the owner's timeout.
  kCrossedAnswer,     // The answer to another request arrives.
  kFencedTerm,        // A promotion fences all endpoints; the entry learns of it late.
  kReplicaBehind,     // Replicas receive and replay nothing for a while.
  kDaemonDeath,       // The owner dies, with its pool, transactions and unsent answers.
  kPromotion,         // A promotion that the cut-off old primary does not hear of.
};

inline constexpr NameTable<Fault, 8> kFaultNames{{{
    {Fault::kEndpointCrash, "endpoint crash"},
    {Fault::kSilentConnection, "silent connection"},
    {Fault::kLateAnswer, "late answer"},
    {Fault::kCrossedAnswer, "crossed answer"},
    {Fault::kFencedTerm, "fenced term"},
    {Fault::kReplicaBehind, "replica behind"},
    {Fault::kDaemonDeath, "daemon death"},
    {Fault::kPromotion, "promotion"},
}}};

/// Where it goes wrong on the path of the target request.
enum class Step { kBeforeSend, kBeforeRun, kBeforeAnswer, kBeforeConfirmation };

inline constexpr NameTable<Step, 4> kStepNames{{{
    {Step::kBeforeSend, "before send"},
    {Step::kBeforeRun, "after send before run"},
    {Step::kBeforeAnswer, "after run before answer"},
    {Step::kBeforeConfirmation, "before confirmation"},
}}};

/// Rules that a test takes away to show that the checks notice.
struct Weakness {
  bool ack_at_primary = false;    // Acknowledges without the quorum.
  bool no_fence_check = false;    // Endpoints and confirmations ignore terms.
  bool retry_after_loss = false;  // Treats every write as repeatable.
  bool dirty_connection = false;  // Releases connections as clean after a timeout.
  bool no_echo_check = false;     // Accepts an answer to another request.
  bool token_ignored = false;     // Sends no required position.
  bool last_verdict = false;      // Reports the verdict of the last attempt only.
};

/// One group of three endpoints, their owners and one entry on a virtual clock. The glue between
/// the kernel objects follows the daemon's: it performs what they decide and injects faults.
class FaultWorld {
 public:
  static constexpr uint64_t kMaxConnectionId = 1000;  // Of one generation of an owner.
  static constexpr Duration kHop = 1ms;               // Between any two processes.

  /// A request as the caller sees it.
  struct Call {
    StatementRequest request;
    std::string session;
    bool done = false;
    StatementResult result;
    std::vector<std::string> own_writes;  // Acknowledged in the session before this call.
  };

  FaultWorld(const Weakness& weakness, bool records_ids);

  /// Sends a request.
  /// @param session Whose positions are used and updated.
  /// @param then Called with the finished call.
  void Issue(const std::string& session,
             StatementRequest request,
             std::function<void(const Call&)> then);

  /// Injects a fault when the request with the id "target" first comes to the step.
  void Arm(Fault fault, Step step) { this->armed.emplace_back(fault, step); }

  void After(Duration delay, std::function<void()> action);
  void RunUntil(TimePoint end);

  TimePoint Now() const { return this->now; }
  const std::vector<std::shared_ptr<Call>>& Calls() const { return this->calls; }
  const std::array<FakeEndpoint, 3>& Endpoints() const { return this->endpoints; }

 private:
  /// A request that the entry drives.
  struct Drive {
    std::shared_ptr<Call> call;
    RequestMachine machine;
    std::function<void(const Call&)> then;
    uint64_t timer = 0;
    bool was_refused = false;
  };

  using DrivePtr = std::shared_ptr<Drive>;

  /// One attempt at the owner.
  struct Forward {
    DrivePtr drive;
    int attempt = 0;
    std::string endpoint;
    uint64_t term = 0;
    StatementRequest request;
    std::string transaction;  // Local to the owner.
    uint64_t generation = 0;
    bool exchanging = false;  // Waits for an answer on a connection.
    bool responded = false;
    bool late = false;
    bool late_response = false;
    bool crossed = false;
    bool lost_response = false;
  };

  using ForwardPtr = std::shared_ptr<Forward>;

  /// Owner of one endpoint. A new generation replaces it when its daemon dies.
  struct Owner {
    uint64_t generation = 0;
    TimePoint up_since;
    ConnectionPool pool{PoolSettings()};
    TransactionTable transactions{2s, 10s};
    ConfirmationTracker tracker;
    std::map<uint64_t, std::function<void(bool)>> confirmations;
    std::map<uint64_t, std::function<void(const FakeReply&)>> pending;  // By connection.
    std::set<uint64_t> silent;      // Connections that deliver nothing.
    std::set<ForwardPtr> forwards;  // Without an answer.
  };

  FakeEndpoint& EndpointOf(const std::string& name);
  Owner& OwnerOf(const std::string& name);
  RequestContext Context();
  void Act(const DrivePtr& drive, const RequestAction& action);
  void Finish(const DrivePtr& drive, StatementResult result);
  void ReturnToEntry(const ForwardPtr& forward, const StatementResult& result);
  void Hook(const ForwardPtr& forward, Step step);
  void Inject(Fault fault, Step step, const ForwardPtr& forward);
  bool IsCurrent(const ForwardPtr& forward);
  void Accept(const ForwardPtr& forward);
  void Assign(const ForwardPtr& forward);
  void SendOn(const ForwardPtr& forward, uint64_t id);
  void Deliver(const ForwardPtr& forward, uint64_t id);
  void OnReply(const ForwardPtr& forward, uint64_t id, const FakeReply& reply);
  void OnLost(const ForwardPtr& forward, uint64_t id, Reason reason);
  void Confirm(const ForwardPtr& forward, const FakeReply& reply, const StatementResult& result);
  void Respond(const ForwardPtr& forward, const StatementResult& result);
  void Refuse(const ForwardPtr& forward, Reason reason);
  void Close(const std::string& endpoint, uint64_t id);
  void OpenConnections(const std::string& endpoint, size_t waiting);
  void Crash(const std::string& endpoint);
  void KillOwner(const std::string& endpoint);
  void Promote(bool old_primary_hears, Duration entry_delay);
  void SetTerms(Owner* owner);
  void Maintain();
  void Replicate();

  struct Event {
    TimePoint time;
    uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.time, other.sequence) < std::tie(this->time, this->sequence);
    }
  };

  Weakness weakness;
  bool records_ids = true;
  TimePoint now;
  uint64_t sequence = 0;
  std::priority_queue<Event> events;
  std::array<FakeEndpoint, 3> endpoints;
  std::array<Owner, 3> owners;
  GroupState state;  // The platform's object, which owners know at once.
  GroupView view;    // As the entry sees the group.
  std::unique_ptr<RoutingPolicy> policy = Registry<RoutingPolicy>::Create("fresh_replicas");
  RetryBudget budget;
  std::map<std::string, SessionPositions> sessions;
  std::map<std::string, std::vector<std::string>> acknowledged;  // Writes by session.
  std::vector<std::shared_ptr<Call>> calls;
  std::set<DrivePtr> drives;  // Unfinished ones.
  std::vector<std::pair<Fault, Step>> armed;
  TimePoint replicas_stalled_until;
  std::set<std::string> cut_off;  // Old primaries that hear nothing of the other endpoints.
  FakeReply foreign_reply;        // Of the latest other request, for crossed answers.
};

}  // namespace poplarmoor
