#include "kernel/request_machine.h"

#include <algorithm>
#include <cassert>
#include <utility>

// Sections: events, rules, reactions to losses and refusals, sending and waiting, final answer.

namespace poplarmoor {

namespace {

constexpr Duration kInitialBackoff = 10ms;
// Longest wait before another attempt (backoff); a change of the group state ends it earlier.
constexpr Duration kMaxBackoff = 100ms;
// Time for which a read waits for a replica that lacks only a few log entries.
constexpr Duration kReplicaWait = 10ms;
// Maximum number of log entries that a replica may lack for a request to wait for it; the replica
// replays this many in about kReplicaWait.
constexpr uint64_t kMaxEntriesToAwait = 64;
// Maximum staleness of a replica for a request to wait for it. A replica with a higher staleness
// has stalled, so waiting for it does not help.
constexpr Duration kMaxStalenessToAwait = 100ms;
// If at least this much time is left to the deadline, an attempt uses only half of it and leaves
// the rest for a retry. If less is left, the attempt may use all of it.
constexpr Duration kMinTimeForRetry = 100ms;
// Maximum number of owners tried for one endpoint before the endpoint is avoided.
constexpr size_t kMaxOwnersTried = 3;
// Maximum number of attempts to reach the owner of a transaction.
constexpr int kMaxPinnedAttempts = 3;

/// @returns Whether a request with this operation belongs to an open transaction.
bool BelongsToTransaction(Operation operation) {
  return operation == Operation::kTransactionRead || operation == Operation::kTransactionWrite ||
         operation == Operation::kCommit || operation == Operation::kRollback;
}

StatementResult MakeResult(Verdict verdict, Reason reason) {
  StatementResult result;
  result.verdict = verdict;
  result.reason = reason;
  return result;
}

}  // namespace

// --- Events --------------------------------------------------------------------------------------

RequestMachine::RequestMachine(StatementRequest request, RequestOptions options)
    : request(std::move(request)), options(std::move(options)) {
  assert(BelongsToTransaction(this->request.operation) == !this->options.pinned_endpoint.empty() &&
         "exactly the statements of transactions are pinned to an endpoint");
}

RequestAction RequestMachine::Start(const RequestContext& context) {
  context.budget.OnRequest();
  return this->TrySend(context);
}

RequestAction RequestMachine::OnAnswer(int attempt,
                                       const StatementResult& result,
                                       const RequestContext& context) {
  if (this->finished) {
    return this->Finish(this->final_result);
  }
  Attempt& answered = this->attempts.at(static_cast<size_t>(attempt - 1));
  if (result.verdict == Verdict::kRan) {
    return this->Finish(result);
  }
  if (answered.state == AttemptState::kNotRun) {
    return this->WaitUntil(this->timer);  // An earlier answer already refused this attempt.
  }
  const bool was_outstanding = answered.state == AttemptState::kOutstanding;
  if (result.verdict == Verdict::kMayHaveRun) {
    this->last_uncertain_result = result;
    answered.state = AttemptState::kMayHaveRun;
    return was_outstanding ? this->OnAnswerLost(answered, result, context)
                           : this->WaitUntil(this->timer);
  }
  answered.state = AttemptState::kNotRun;
  this->last_refusal = result;
  if (result.reason == Reason::kRequestIdReused && this->options.records_request_ids) {
    return this->Finish(result);
  }
  return was_outstanding ? this->OnRefused(answered, result, context)
                         : this->WaitUntil(this->timer);
}

RequestAction RequestMachine::OnSendFailed(int attempt, bool sent, const RequestContext& context) {
  return this->OnAnswer(attempt,
                        sent ? MakeResult(Verdict::kMayHaveRun, Reason::kConnectionLost)
                             : MakeResult(Verdict::kNotRun, Reason::kConnectFailed),
                        context);
}

RequestAction RequestMachine::OnTimer(const RequestContext& context) {
  if (this->finished) {
    return this->Finish(this->final_result);
  }
  if (context.now >= this->request.deadline) {
    return this->GiveUp(Reason::kDeadlineExceeded);
  }
  if (!this->HasOutstanding()) {
    return this->TrySend(context);
  }
  const bool promoted = context.group.State().term > this->attempts.back().term &&
                        context.group.UsablePrimary() != nullptr;
  if ((context.now < this->timer && !promoted) || !this->MayRepeatAfterLoss()) {
    return this->WaitUntil(this->MayRepeatAfterLoss() ? this->timer : this->request.deadline);
  }
  // The attempt timed out or a new primary was promoted. The attempt stays outstanding, because its
  // answer still counts. After a timeout, no further attempt goes to its endpoint until the next
  // backoff (a pause before a retry) starts. If no other endpoint can be tried, TrySend() starts
  // the backoff immediately.
  if (!promoted && this->last_timed_out_attempt != this->Attempts()) {
    this->last_timed_out_attempt = this->Attempts();
    this->avoided.push_back(this->attempts.back().endpoint);
  }
  return this->TrySend(context);
}

// --- Rules ---------------------------------------------------------------------------------------

RequestMachine::Reaction RequestMachine::ReactionTo(Reason reason, bool needs_primary) {
  switch (reason) {
    case Reason::kNoPrimary:
    case Reason::kNoQuorum:
    case Reason::kFenced:
    case Reason::kNotPrimary:
      return Reaction::kWaitForGroup;
    case Reason::kBehind:
    case Reason::kStale:
      return Reaction::kFresherEndpoint;
    case Reason::kConnectFailed:
    case Reason::kNotOwner:
    case Reason::kStopping:
      return Reaction::kNextOwner;
    case Reason::kNoSlot:
    case Reason::kTooManyConnections:
    case Reason::kConnectionLost:
    case Reason::kTimeout:
    case Reason::kLeaving:
      return Reaction::kNextCandidate;
    case Reason::kOverloaded:
      // Waiting in this daemon would not help, because the admission queue of the endpoint's owner
      // could not count the request. Only another endpoint helps, and there is none for a request
      // that needs the primary.
      return needs_primary ? Reaction::kAnswer : Reaction::kNextCandidate;
    default:
      return Reaction::kAnswer;
  }
}

bool RequestMachine::IsIdempotent() const {
  // kBegin counts as idempotent: if the answer to an attempt is lost, the transaction that the
  // attempt began has no statements, and its owner ends it after the idle limit.
  return this->request.operation == Operation::kRead ||
         this->request.operation == Operation::kBegin ||
         this->request.operation == Operation::kOutcome;
}

bool RequestMachine::MayRepeatAfterLoss() const {
  return this->IsIdempotent() || (this->request.operation == Operation::kWrite &&
                                  this->request.repeatable && this->options.records_request_ids);
}

bool RequestMachine::MayHaveRun() const {
  return std::any_of(this->attempts.begin(), this->attempts.end(),
                     [](const Attempt& attempt) { return attempt.state != AttemptState::kNotRun; });
}

bool RequestMachine::HasOutstanding() const {
  return std::any_of(this->attempts.begin(), this->attempts.end(), [](const Attempt& attempt) {
    return attempt.state == AttemptState::kOutstanding;
  });
}

// --- Reactions to losses and refusals ------------------------------------------------------------

RequestAction RequestMachine::OnAnswerLost(const Attempt& attempt,
                                           const StatementResult& result,
                                           const RequestContext& context) {
  if (this->HasOutstanding()) {
    return this->WaitUntil(this->timer);
  }
  if (!this->MayRepeatAfterLoss()) {
    return this->Finish(result);
  }
  this->avoided.push_back(attempt.endpoint);
  return this->TrySend(context);
}

RequestAction RequestMachine::OnRefused(const Attempt& attempt,
                                        const StatementResult& result,
                                        const RequestContext& context) {
  if (this->HasOutstanding()) {
    return this->WaitUntil(this->timer);
  }
  if (!this->options.pinned_endpoint.empty()) {
    const bool not_reached = result.reason == Reason::kConnectFailed;
    return not_reached && this->Attempts() < kMaxPinnedAttempts ? this->Backoff(context)
                                                                : this->GiveUp(result.reason);
  }
  switch (ReactionTo(result.reason, NeedsPrimary(this->request.operation))) {
    case Reaction::kAnswer:
      return this->GiveUp(result.reason);
    case Reaction::kNextCandidate:
      this->avoided.push_back(attempt.endpoint);
      return this->TrySend(context);
    case Reaction::kWaitForGroup:
      return context.group.State().term > attempt.term ? this->TrySend(context)
                                                       : this->Backoff(context);
    case Reaction::kFresherEndpoint:
      return this->UseFresherEndpoint(attempt, result, context);
    case Reaction::kNextOwner:
      return this->UseNextOwner(attempt, context);
  }
  return this->GiveUp(Reason::kInternal);
}

RequestAction RequestMachine::UseFresherEndpoint(const Attempt& attempt,
                                                 const StatementResult& result,
                                                 const RequestContext& context) {
  const GroupView::Endpoint* primary = context.group.UsablePrimary();
  if (primary != nullptr && primary->info.name == attempt.endpoint) {
    // An endpoint that refuses a read because it lags is not the primary, so this daemon's group
    // state is outdated. The backoff gives it time to learn of a newer one.
    return this->Backoff(context);
  }
  const uint64_t needed = this->request.required.index;
  const bool nearly_replayed = result.reason == Reason::kBehind && result.status &&
                               result.status->staleness <= kMaxStalenessToAwait &&
                               needed <= result.status->replayed + kMaxEntriesToAwait;
  if (nearly_replayed && !this->waited_for_replica) {
    this->waited_for_replica = true;
    this->next_endpoint = attempt.endpoint;
    this->next_needs_no_token = true;
    return this->WaitUntil(context.now + kReplicaWait);
  }
  this->next_needs_no_token = !this->redirected_without_token;
  this->redirected_without_token = true;
  this->prefer_primary = true;
  this->avoided.push_back(attempt.endpoint);
  return this->TrySend(context);
}

RequestAction RequestMachine::UseNextOwner(const Attempt& attempt, const RequestContext& context) {
  ++this->owner_index;
  if (this->owner_index >= kMaxOwnersTried) {
    this->owner_index = 0;
    this->avoided.push_back(attempt.endpoint);
    return this->TrySend(context);
  }
  // The request did not reach the endpoint, so a retry through the next owner adds no load there.
  this->next_endpoint = attempt.endpoint;
  this->next_needs_no_token = true;
  return this->TrySend(context);
}

// --- Sending and waiting -------------------------------------------------------------------------

std::string RequestMachine::ChooseEndpoint(const RequestContext& context) {
  if (!this->options.pinned_endpoint.empty()) {
    return this->options.pinned_endpoint;
  }
  if (!this->next_endpoint.empty()) {
    std::string preferred = std::exchange(this->next_endpoint, {});
    const GroupView::Endpoint* endpoint = context.group.Find(preferred);
    const bool can_serve = endpoint != nullptr && !endpoint->info.leaving &&
                           (endpoint->is_primary || !NeedsPrimary(this->request.operation));
    if (can_serve) {
      return preferred;
    }
  }
  RouteRequest route;
  route.operation = this->request.operation;
  route.required = this->request.required;
  route.max_staleness = this->request.max_staleness;
  route.primary_required = this->options.primary_required ||
                           context.group.IsLost(this->request.required) ||
                           (this->prefer_primary && context.group.UsablePrimary() != nullptr);
  for (std::string& name :
       context.policy.Candidates(route, context.group, context.now, context.random)) {
    if (std::find(this->avoided.begin(), this->avoided.end(), name) == this->avoided.end()) {
      return std::move(name);
    }
  }
  return {};
}

RequestAction RequestMachine::TrySend(const RequestContext& context) {
  if (context.now >= this->request.deadline) {
    return this->GiveUp(Reason::kDeadlineExceeded);
  }
  assert((!this->MayHaveRun() || this->MayRepeatAfterLoss()) &&
         "a request that may have run is repeated only when that is safe");
  const std::string endpoint = this->ChooseEndpoint(context);
  if (endpoint.empty()) {
    if (this->last_refusal.reason == Reason::kOverloaded && !this->MayHaveRun()) {
      return this->GiveUp(Reason::kOverloaded);
    }
    if (this->attempts.empty()) {
      this->last_refusal = MakeResult(Verdict::kNotRun, Reason::kNoPrimary);
    }
    return this->Backoff(context);
  }
  // The first attempt in each term needs no retry token. Otherwise the requests that wait during a
  // promotion would use up the retry budget just when the new primary can serve them.
  const bool needs_no_token = this->attempts.empty() || this->next_needs_no_token ||
                              context.group.State().term > this->attempts.back().term;
  if (!needs_no_token && !context.budget.TryTake()) {
    return this->Backoff(context);
  }
  return this->Send(endpoint, context);
}

RequestAction RequestMachine::Send(const std::string& endpoint, const RequestContext& context) {
  this->next_needs_no_token = false;
  if (!this->attempts.empty() && this->attempts.back().endpoint != endpoint) {
    this->owner_index = 0;
  }
  const Duration remaining = this->request.deadline - context.now;
  // Half of the time is kept for another attempt, in case this attempt gets neither an answer nor
  // an error.
  const bool keeps_retry_time = this->MayRepeatAfterLoss() && remaining >= kMinTimeForRetry;
  RequestAction action;
  action.kind = RequestAction::Kind::kSend;
  action.endpoint = endpoint;
  action.owner_index = this->owner_index;
  action.term = context.group.State().term;
  action.required =
      context.group.IsLost(this->request.required) ? LogPosition() : this->request.required;
  action.until = context.now + (keeps_retry_time ? remaining / 2 : remaining);
  this->attempts.push_back({endpoint, action.term});
  action.attempt = this->Attempts();
  this->timer = action.until;
  return action;
}

RequestAction RequestMachine::WaitUntil(TimePoint until) {
  RequestAction action;
  action.kind = RequestAction::Kind::kWait;
  action.until = std::min(until, this->request.deadline);
  this->timer = action.until;
  return action;
}

RequestAction RequestMachine::Backoff(const RequestContext& context) {
  this->avoided.clear();
  const Duration full =
      std::min<Duration>(kInitialBackoff * (1 << std::min(this->backoffs, 4)), kMaxBackoff);
  ++this->backoffs;
  const auto half = static_cast<uint64_t>(full.count() / 2);
  return this->WaitUntil(context.now +
                         Duration(static_cast<int64_t>(half + context.random % (half + 1))));
}

// --- Final answer --------------------------------------------------------------------------------

RequestAction RequestMachine::GiveUp(Reason reason) {
  if (this->HasOutstanding()) {
    return this->Finish(MakeResult(Verdict::kMayHaveRun, Reason::kTimeout));
  }
  if (this->MayHaveRun()) {
    return this->Finish(this->last_uncertain_result);
  }
  StatementResult result = this->last_refusal;
  if (result.reason == Reason::kNone) {
    result.reason = reason;
  }
  return this->Finish(std::move(result));
}

RequestAction RequestMachine::Finish(StatementResult result) {
  this->finished = true;
  this->final_result = std::move(result);
  RequestAction action;
  action.kind = RequestAction::Kind::kAnswer;
  action.result = this->final_result;
  return action;
}

}  // namespace poplarmoor
