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

/// Fault that the simulation can inject.
enum class Fault {
  // The endpoint's process ends and its log is kept. If the endpoint was the primary, a promotion
  // follows.
  kEndpointCrash,
  kSilentConnection,  // All open connections of the endpoint stop delivering messages.
  // The endpoint's answer arrives after the owner has stopped waiting for it. At the step
  // kBeforeConfirmation, the owner's response to the entry daemon is delayed instead.
  kLateAnswer,
  // Another request's answer arrives instead of the right one. At the step kBeforeConfirmation, the
  // owner's response to the entry daemon is lost instead.
  kCrossedAnswer,
  // A promotion moves all endpoints to a new term (`fence` request); the entry daemon learns of it
  // after a delay.
  kFencedTerm,
  kReplicaBehind,  // Replicas neither receive nor replay the log for a while.
  kDaemonDeath,    // The owner dies; its connections, transactions and unsent answers are gone.
  kPromotion,      // A promotion; the old primary is disconnected and does not learn of it.
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

/// Step in the processing of the target request at which a fault is injected.
enum class Step { kBeforeSend, kBeforeRun, kBeforeAnswer, kBeforeConfirmation };

inline constexpr NameTable<Step, 4> kStepNames{{{
    {Step::kBeforeSend, "before send"},
    {Step::kBeforeRun, "after send before run"},
    {Step::kBeforeAnswer, "after run before answer"},
    {Step::kBeforeConfirmation, "before confirmation"},
}}};

/// Defects that a test switches on to show that its checks detect them.
struct Defects {
  bool ack_without_quorum = false;  // Acknowledges writes without waiting for the quorum.
  // Endpoints accept requests of any term, and owners ignore the terms in their answers.
  bool skip_fence_check = false;
  bool retry_any_write = false;  // Treats every write as safe to repeat.
  // Reuses connections on which a request did not get its own answer.
  bool reuse_dirty_connection = false;
  bool skip_request_id_check = false;  // Accepts an answer that belongs to another request.
  // Sends requests without the log position that their session requires.
  bool ignore_session_token = false;
  // If any attempt was refused, reports the verdict `not_run` instead of `may_have_run`.
  bool report_last_verdict = false;
};

/// Simulates, on a virtual clock, one group of three endpoints, their owners and one entry daemon,
/// which receives the requests. The simulation connects the kernel objects as the daemon does,
/// performs the actions that they decide on, and injects faults.
class FaultSimulation {
 public:
  static constexpr uint64_t kMaxConnectionId = 1000;  // Each owner's connection ids are below this.
  static constexpr Duration kHopDelay = 1ms;          // Message delay between any two processes.

  /// A request as the caller sees it.
  struct Call {
    StatementRequest request;
    std::string session;
    bool done = false;
    StatementResult result;
    // Ids of the writes that were acknowledged in the session before this call.
    std::vector<std::string> own_writes;
  };

  FaultSimulation(const Defects& defects, bool records_ids);

  /// Sends a request.
  /// @param session Session whose log positions the request uses and updates.
  /// @param then Called when the call has finished.
  void Issue(const std::string& session,
             StatementRequest request,
             std::function<void(const Call&)> then);

  /// Schedules a fault that is injected when the request with the id "target" first reaches the
  /// step.
  void Arm(Fault fault, Step step) { this->armed.emplace_back(fault, step); }

  void After(Duration delay, std::function<void()> action);
  void RunUntil(TimePoint end);

  TimePoint Now() const { return this->now; }
  const std::vector<std::shared_ptr<Call>>& Calls() const { return this->calls; }
  const std::array<FakeEndpoint, 3>& Endpoints() const { return this->endpoints; }

 private:
  /// An unfinished request at the entry daemon.
  struct ActiveRequest {
    std::shared_ptr<Call> call;
    RequestMachine machine;
    std::function<void(const Call&)> then;
    uint64_t timer = 0;
    bool was_refused = false;
  };

  using ActiveRequestPtr = std::shared_ptr<ActiveRequest>;

  /// One attempt to run a request, forwarded to the owner of an endpoint.
  struct Forward {
    ActiveRequestPtr active;
    int attempt = 0;
    std::string endpoint;
    uint64_t term = 0;
    StatementRequest request;
    std::string transaction;     // Transaction id without the prefix for the endpoint.
    uint64_t generation = 0;     // `Owner::generation` of the owner that accepted the attempt.
    bool exchanging = false;     // The owner waits for the endpoint to answer the request.
    bool responded = false;      // The owner has responded to the entry daemon, or has died.
    bool late = false;           // The answer arrives after the owner's wait for it timed out.
    bool late_response = false;  // The owner's response to the entry daemon is delayed.
    bool crossed = false;        // The endpoint sends another request's answer.
    bool lost_response = false;  // The owner's response to the entry daemon is lost.
  };

  using ForwardPtr = std::shared_ptr<Forward>;

  /// Owner of one endpoint. When the daemon that acts as the owner dies, a new Owner replaces it.
  struct Owner {
    uint64_t generation = 0;  // Number of earlier owners of the endpoint; all of them have died.
    TimePoint up_since;
    ConnectionPool pool{PoolSettings()};
    TransactionTable transactions{2s, 10s};
    ConfirmationTracker tracker;
    // By id, the handler of each write that waits for confirmation in `tracker`. The argument of
    // the handler says whether the write was confirmed.
    std::map<uint64_t, std::function<void(bool)>> confirmations;
    // By connection id, the handler of the answer that a request on the connection waits for.
    std::map<uint64_t, std::function<void(const FakeReply&)>> pending;
    std::set<uint64_t> silent;      // Connections that deliver no messages.
    std::set<ForwardPtr> forwards;  // Accepted attempts that the owner has not responded to.
  };

  FakeEndpoint& EndpointOf(const std::string& name);
  Owner& OwnerOf(const std::string& name);
  RequestContext Context();
  void Perform(const ActiveRequestPtr& active, const RequestAction& action);
  void Finish(const ActiveRequestPtr& active, StatementResult result);
  void ReturnToEntry(const ForwardPtr& forward, const StatementResult& result);
  void OnStep(const ForwardPtr& forward, Step step);
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
  void Promote(bool notify_old_primary, Duration entry_delay);
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

  Defects defects;
  bool records_ids = true;
  TimePoint now;
  uint64_t sequence = 0;
  std::priority_queue<Event> events;
  std::array<FakeEndpoint, 3> endpoints;
  std::array<Owner, 3> owners;
  GroupState state;  // Group state on the platform; owners learn of changes without delay.
  GroupView view;    // Group state as known to the entry daemon.
  std::unique_ptr<RoutingPolicy> policy = Registry<RoutingPolicy>::Create("fresh_replicas");
  RetryBudget budget;
  std::map<std::string, SessionPositions> sessions;
  // Ids of the acknowledged writes, by session.
  std::map<std::string, std::vector<std::string>> acknowledged;
  std::vector<std::shared_ptr<Call>> calls;
  std::set<ActiveRequestPtr> active_requests;  // Unfinished requests.
  std::vector<std::pair<Fault, Step>> armed;
  TimePoint replicas_stalled_until;
  std::set<std::string> disconnected;  // Old primaries that cannot reach the other endpoints.
  // Reply to the latest request other than the target; sent to the target as a crossed answer.
  FakeReply other_reply;
};

}  // namespace poplarmoor
