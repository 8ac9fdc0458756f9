#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "kernel/admission/retry_budget.h"
#include "kernel/group_view.h"
#include "kernel/log_position.h"
#include "kernel/routing_policy.h"
#include "kernel/statement_request.h"
#include "kernel/statement_result.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Next step of the entry daemon (the daemon that received the request from the caller).
struct RequestAction {
  enum class Kind {
    kSend,    // Forward the request to an owner of `endpoint`; wait for the answer until `until`.
    kWait,    // Call OnTimer() at `until`, or earlier when the group state changes.
    kAnswer,  // Answer the caller with `result`; the machine is finished.
  };

  Kind kind = Kind::kWait;
  // Number of the attempt, from 1, to be passed to OnAnswer() or OnSendFailed(); set for kSend.
  int attempt = 0;
  std::string endpoint;  // Name of the endpoint; set for kSend.
  // Index of the daemon to send to, in the list that Ownership::OwnersOf() returns for `endpoint`;
  // set for kSend.
  size_t owner_index = 0;
  uint64_t term = 0;       // Term to send with the request; set for kSend.
  LogPosition required;    // Minimum log position to send with the request; set for kSend.
  TimePoint until;         // When the daemon calls OnTimer(); set for kSend and kWait.
  StatementResult result;  // Result to return to the caller; set for kAnswer.
};

/// Inputs of each call of a RequestMachine, such as the state of the group.
struct RequestContext {
  const GroupView& group;
  RoutingPolicy& policy;
  RetryBudget& budget;
  TimePoint now;
  uint64_t random = 0;  // Uniformly distributed random bits.
};

/// Settings of RequestMachine that do not change during a request.
struct RequestOptions {
  bool records_request_ids = true;  // The endpoints recognise a repeated request id.
  // Whether the request must go to the primary, because it may be the only endpoint that has the
  // session's newest write (Requirement::needs_primary).
  bool primary_required = false;
  std::string pinned_endpoint;  // Endpoint of the request's transaction; empty outside one.
};

/// Runs the attempts of one request at the entry daemon.
///
/// The verdict never claims more than the attempts prove. Each attempt has its own state, and an
/// attempt that was sent counts as possibly run until its own answer says otherwise:
///
/// - kRan: some attempt was answered with kRan. A repeated write that is answered with kRan ran
///   exactly once: an attempt that arrives later finds the recorded request id, and an attempt of
///   an older term is fenced.
/// - kNotRun: every attempt that was sent answered kNotRun. A refusal of a second attempt says
///   nothing about the first one: the endpoint may refuse (no_slot, fenced, behind) before it
///   checks the request id. The only exception is request_id_reused from a group that records
///   ids: the endpoint found the id bound to another statement, so no attempt ever ran.
/// - kMayHaveRun: otherwise.
///
/// A commit or another statement of a transaction is sent at most once. If its answer is lost, a
/// second attempt would find the transaction gone (kNotRun) although the first one may have
/// committed it.
class RequestMachine {
 public:
  RequestMachine(StatementRequest request, RequestOptions options);

  /// Starts the request.
  /// @param context Group state, time and other inputs of this call.
  /// @returns The first action.
  RequestAction Start(const RequestContext& context);

  /// Handles the answer to an attempt. Answers to all attempts count, in any order of arrival.
  /// @param attempt RequestAction::attempt of the attempt.
  /// @param result The answer.
  /// @param context Group state, time and other inputs of this call.
  /// @returns The next action: kWait when nothing changes. After any call has returned kAnswer,
  ///     OnAnswer() returns the same answer again.
  RequestAction OnAnswer(int attempt, const StatementResult& result, const RequestContext& context);

  /// Records that an attempt will get no answer.
  /// @param attempt RequestAction::attempt of the attempt.
  /// @param sent False only when it is certain that no byte of the request left this daemon.
  /// @param context Group state, time and other inputs of this call.
  /// @returns The next action.
  RequestAction OnSendFailed(int attempt, bool sent, const RequestContext& context);

  /// Must be called at `until` of the last action, and when the group state changes.
  /// @param context Group state, time and other inputs of this call.
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
    kMayHaveRun,   // The answer was lost, or its verdict is kMayHaveRun.
  };

  struct Attempt {
    std::string endpoint;
    uint64_t term = 0;
    AttemptState state = AttemptState::kOutstanding;
  };

  /// How the request continues after an attempt was refused.
  enum class Reaction {
    kAnswer,           // Report the refusal; another attempt would not help.
    kNextCandidate,    // Try another endpoint, or the same one after a backoff.
    kWaitForGroup,     // Wait for a newer group state, for example during a promotion.
    kFresherEndpoint,  // The replica lags: wait briefly or use the primary.
    kNextOwner,        // Send through the next owner, which may reach the endpoint.
  };

  static Reaction ReactionTo(Reason reason, bool needs_primary);
  bool IsIdempotent() const;
  bool MayRepeatAfterLoss() const;
  bool MayHaveRun() const;
  bool HasOutstanding() const;
  RequestAction OnAnswerLost(const Attempt& attempt,
                             const StatementResult& result,
                             const RequestContext& context);
  RequestAction OnRefused(const Attempt& attempt,
                          const StatementResult& result,
                          const RequestContext& context);
  RequestAction UseFresherEndpoint(const Attempt& attempt,
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
  // Endpoint for the next attempt; empty: the routing policy chooses one.
  std::string next_endpoint;
  // Index, in the endpoint's list of owners (Ownership::OwnersOf()), of the daemon that gets the
  // next attempt. The daemons before it in the list failed to send the request to the endpoint.
  size_t owner_index = 0;
  // True if a replica lagged too far, so that the next attempts go to the primary if possible.
  bool prefer_primary = false;
  bool waited_for_replica = false;  // Whether the request has waited, once, for a lagging replica.
  // Whether the request was already redirected from a lagging replica to another endpoint. Only the
  // first such redirection of a request takes no token from the retry budget.
  bool redirected_without_token = false;
  // Whether the next attempt may be sent without taking a token from the retry budget.
  bool next_needs_no_token = true;
  int backoffs = 0;
  TimePoint timer;                 // When OnTimer() is due: `until` of the last action.
  int last_timed_out_attempt = 0;  // Number of the last attempt that timed out; 0: none.
  // Last result with the verdict kNotRun; reported when the machine gives up and no attempt can
  // have run.
  StatementResult last_refusal;
  // Last result with the verdict kMayHaveRun; reported when the machine gives up and an attempt may
  // have run.
  StatementResult last_uncertain_result;
  bool finished = false;
  StatementResult final_result;
};

}  // namespace poplarmoor
