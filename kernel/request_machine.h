#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "kernel/group_view.h"
#include "kernel/log_position.h"
#include "kernel/retry_budget.h"
#include "kernel/routing_policy.h"
#include "kernel/statement_request.h"
#include "kernel/statement_result.h"
#include "kernel/time.h"

namespace poplarmoor {

/// What the entry must do for a request.
struct RequestAction {
  enum class Kind {
    kSend,    // Forward to the owner of `endpoint`, then wait for an answer or `until`.
    kWait,    // Call OnTimer() at `until`, or earlier when the group state changes.
    kAnswer,  // Answer the caller with `result`; the machine is finished.
  };

  Kind kind = Kind::kWait;
  int attempt = 0;          // kSend: number to hand back with the answer, from 1.
  std::string endpoint;     // kSend: name of the endpoint.
  size_t owner_choice = 0;  // kSend: index in the rendezvous order of the endpoint's owners.
  uint64_t term = 0;        // kSend: term to send with the request.
  LogPosition required;     // kSend: minimum position to send with the request.
  TimePoint until;          // kSend, kWait: when to call OnTimer().
  StatementResult result;   // kAnswer.
};

/// What the machine consults at each step.
struct RequestContext {
  const GroupView& group;
  RoutingPolicy& policy;
  RetryBudget& budget;
  TimePoint now;
  uint64_t random = 0;  // Uniformly distributed random bits.
};

/// Settings of the machine that do not change during a request.
struct RequestOptions {
  bool records_request_ids = true;  // The endpoints recognise a repeated request id.
  bool primary_required = false;    // SessionPositions::Requirement::needs_primary.
  std::string pinned_endpoint;      // Of a transaction's statement; empty otherwise.
};

/// Drives the attempts of one request at its entry.
///
/// The answer to the caller is never better than the truth. Each attempt has its own state, and an
/// attempt that was sent counts as possibly run until its own answer says otherwise:
///
/// - kRan: some attempt answered kRan. A repeated write that answers kRan is exact, since an
/// attempt
///   that arrives later finds the recorded request id, and an attempt of an older term is fenced.
/// - kNotRun: every attempt that was sent answered kNotRun. A refusal of a second attempt says
///   nothing about the first one: the endpoint may refuse (no_slot, fenced, behind) before it looks
///   at the request id. The single exception is request_id_reused from a group that records ids:
///   the endpoint has looked, and found the id bound to another statement, so no attempt ever ran.
/// - kMayHaveRun: otherwise.
///
/// A commit or another statement of a transaction is sent at most once: after a lost answer the
/// repeat would find the transaction gone (kNotRun) although the first attempt may have committed.
class RequestMachine {
 public:
  RequestMachine(StatementRequest request, RequestOptions options);

  /// Begins the request.
  /// @param context What to consult.
  /// @returns The first action.
  RequestAction Start(const RequestContext& context);

  /// Takes the answer to an attempt. Answers to earlier attempts are answers to the same request
  /// and count in whatever order they arrive.
  /// @param attempt Number from the action.
  /// @param result The answer.
  /// @param context What to consult.
  /// @returns The next action. kWait when nothing changes; after kAnswer, the same answer again.
  RequestAction OnAnswer(int attempt, const StatementResult& result, const RequestContext& context);

  /// Takes note that an attempt will get no answer.
  /// @param attempt Number from the action.
  /// @param sent False only when provably no byte of the request left this daemon.
  /// @param context What to consult.
  /// @returns The next action.
  RequestAction OnSendFailed(int attempt, bool sent, const RequestContext& context);

  /// Call when the time of the last action has come, or when the group state changed.
  /// @param context What to consult.
  /// @returns The next action.
  RequestAction OnTimer(const RequestContext& context);

  /// @returns The request.
  const StatementRequest& Request() const { return this->request; }

  /// @returns The number of attempts so far.
  int Attempts() const { return static_cast<int>(this->attempts.size()); }

 private:
  enum class AttemptState {
    kOutstanding,  // Sent; no answer yet.
    kNotRun,       // Refused, or never left this daemon.
    kMayHaveRun,   // The answer is lost, or says so.
  };

  struct Attempt {
    std::string endpoint;
    uint64_t term = 0;
    AttemptState state = AttemptState::kOutstanding;
  };

  /// What to do after a refusal.
  enum class Reaction {
    kAnswer,         // Only the caller can change the request.
    kNextCandidate,  // Another endpoint may serve it, or the same one later.
    kWaitForGroup,   // A promotion is under way, or this entry knows an old state.
    kFresher,        // The replica lags: wait briefly or use the primary.
    kNextOwner,      // Another daemon may reach the endpoint.
  };

  static Reaction ReactionTo(Reason reason, bool needs_primary);
  bool IsHarmless() const;
  bool MayRepeatAfterLoss() const;
  bool HasUnresolved() const;
  bool HasOutstanding() const;
  RequestAction OnLost(const Attempt& attempt,
                       const StatementResult& result,
                       const RequestContext& context);
  RequestAction OnRefused(const Attempt& attempt,
                          const StatementResult& result,
                          const RequestContext& context);
  RequestAction UseFresher(const Attempt& attempt,
                           const StatementResult& result,
                           const RequestContext& context);
  RequestAction UseNextOwner(const Attempt& attempt, const RequestContext& context);
  std::string ChooseEndpoint(const RequestContext& context);
  RequestAction TrySend(const RequestContext& context);
  RequestAction Send(const std::string& endpoint, const RequestContext& context);
  RequestAction WaitUntil(TimePoint until);
  RequestAction Backoff(const RequestContext& context);
  RequestAction GiveUp(Reason reason);
  RequestAction Finish(StatementResult result);

  StatementRequest request;
  RequestOptions options;
  std::vector<Attempt> attempts;
  std::vector<std::string> avoided;  // Endpoints that refused or failed since the last backoff.
  std::string next_endpoint;         // Preferred for the next attempt; empty: ask the policy.
  size_t owner_choice = 0;           // Daemons in the endpoint's rendezvous order that failed.
  bool prefer_primary = false;       // A replica was too far behind.
  bool waited_for_replica = false;
  bool redirected = false;   // A redirection without a retry token was used.
  bool next_is_free = true;  // The next attempt needs no retry token.
  int backoffs = 0;
  TimePoint timer;               // Of the last action.
  int silent_attempt = 0;        // Last attempt whose endpoint was avoided for its silence.
  StatementResult last_refusal;  // Reported at the deadline when no attempt can have run.
  StatementResult last_loss;     // Reported otherwise.
  bool finished = false;
  StatementResult final_result;
};

}  // namespace poplarmoor
