#include "tests/kernel/fault_simulation.h"

#include <algorithm>

namespace poplarmoor {

namespace {

constexpr Duration kOwnerTimeout = 150ms;     // Timeout of one request to an endpoint.
constexpr Duration kLateAnswerDelay = 300ms;  // Delay of a late answer; exceeds kOwnerTimeout.

bool IsInTransaction(Operation operation) {
  return operation == Operation::kTransactionRead || operation == Operation::kTransactionWrite ||
         operation == Operation::kCommit;
}

bool IsLogged(Operation operation) {
  return operation == Operation::kWrite || operation == Operation::kCommit;
}

}  // namespace

FaultSimulation::FaultSimulation(const Defects& defects, bool records_ids)
    : defects(defects), records_ids(records_ids), state(MakeGroup(1, "a")), view(state) {
  for (size_t i = 0; i < 3; ++i) {
    this->endpoints[i].name = this->state.endpoints[i].name;
    this->endpoints[i].records_ids = records_ids;
    this->endpoints[i].checks_terms = !defects.skip_fence_check;
    this->SetTerms(&this->owners[i]);
  }
  this->endpoints[0].Promote();
  this->After(Duration(0), [this] { this->Maintain(); });
}

// --- Clock and callers --------------------------------------------------------------------------

void FaultSimulation::After(Duration delay, std::function<void()> action) {
  this->events.push({this->now + delay, this->sequence++, std::move(action)});
}

void FaultSimulation::RunUntil(TimePoint end) {
  while (!this->events.empty() && this->events.top().time <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.time;
    event.action();
  }
  this->now = end;
}

void FaultSimulation::Issue(const std::string& session,
                            StatementRequest request,
                            std::function<void(const Call&)> then) {
  const auto call = std::make_shared<Call>();
  call->session = session;
  call->own_writes = this->acknowledged[session];
  RequestOptions options;
  options.records_request_ids = this->records_ids || this->defects.retry_any_write;
  if (!this->defects.ignore_session_token) {
    request.required = this->sessions[session].Require("orders").position;
  }
  if (IsInTransaction(request.operation)) {
    options.pinned_endpoint = request.transaction.substr(0, request.transaction.find('/'));
  }
  call->request = request;
  request.repeatable = request.repeatable || this->defects.retry_any_write;
  const ActiveRequestPtr active(
      new ActiveRequest{call, RequestMachine(request, options), std::move(then)});
  this->calls.push_back(call);
  this->active_requests.insert(active);
  this->Perform(active, active->machine.Start(this->Context()));
}

RequestContext FaultSimulation::Context() {
  return {this->view, *this->policy, this->budget, this->now, this->sequence * 0x9e3779b97f4a7c15};
}

FakeEndpoint& FaultSimulation::EndpointOf(const std::string& name) {
  return this->endpoints.at(static_cast<size_t>(name.at(0) - 'a'));
}

FaultSimulation::Owner& FaultSimulation::OwnerOf(const std::string& name) {
  return this->owners.at(static_cast<size_t>(name.at(0) - 'a'));
}

// --- Entry daemon -------------------------------------------------------------------------------

void FaultSimulation::Perform(const ActiveRequestPtr& active, const RequestAction& action) {
  if (active->call->done) {
    return;
  }
  if (action.kind == RequestAction::Kind::kAnswer) {
    this->Finish(active, action.result);
    return;
  }
  if (action.kind == RequestAction::Kind::kSend) {
    const auto forward = std::make_shared<Forward>();
    forward->active = active;
    forward->attempt = action.attempt;
    forward->endpoint = action.endpoint;
    forward->term = action.term;
    forward->request = active->machine.Request();
    forward->request.required = action.required;
    const std::string& transaction = forward->request.transaction;
    forward->transaction = transaction.substr(std::min(transaction.size(), size_t{2}));
    this->view.OnSent(action.endpoint);
    this->After(kHopDelay, [this, forward] { this->Accept(forward); });
  }
  const uint64_t timer = ++active->timer;
  this->After(std::max(Duration(0), action.until - this->now), [this, active, timer] {
    if (active->timer == timer) {
      this->Perform(active, active->machine.OnTimer(this->Context()));
    }
  });
}

void FaultSimulation::Finish(const ActiveRequestPtr& active, StatementResult result) {
  Call& call = *active->call;
  call.done = true;
  if (this->defects.report_last_verdict && active->was_refused &&
      result.verdict == Verdict::kMayHaveRun) {
    result.verdict = Verdict::kNotRun;
  }
  call.result = result;
  if (result.verdict == Verdict::kRan && IsLogged(call.request.operation)) {
    this->sessions[call.session].Record("orders", result.position);
    this->acknowledged[call.session].push_back(call.request.request_id);
  }
  this->active_requests.erase(active);
  active->then(call);
}

void FaultSimulation::ReturnToEntry(const ForwardPtr& forward, const StatementResult& result) {
  const ActiveRequestPtr& active = forward->active;
  if (result.status) {
    this->view.OnStatus(*result.status, this->now);
  }
  this->view.OnDone(forward->endpoint, result.verdict == Verdict::kMayHaveRun, this->now);
  active->was_refused = active->was_refused || result.verdict == Verdict::kNotRun;
  this->Perform(active, active->machine.OnAnswer(forward->attempt, result, this->Context()));
}

// --- Owner --------------------------------------------------------------------------------------

bool FaultSimulation::IsCurrent(const ForwardPtr& forward) {
  return !forward->responded && forward->generation == this->OwnerOf(forward->endpoint).generation;
}

void FaultSimulation::Accept(const ForwardPtr& forward) {
  Owner& owner = this->OwnerOf(forward->endpoint);
  if (this->now < owner.up_since) {
    this->After(kHopDelay, [this, forward] {
      this->ReturnToEntry(forward, MakeResult(Verdict::kNotRun, Reason::kConnectFailed));
    });
    return;
  }
  forward->generation = owner.generation;
  owner.forwards.insert(forward);
  this->OnStep(forward, Step::kBeforeSend);
  this->Assign(forward);
}

void FaultSimulation::Assign(const ForwardPtr& forward) {
  if (!this->IsCurrent(forward)) {
    return;
  }
  Owner& owner = this->OwnerOf(forward->endpoint);
  const Operation operation = forward->request.operation;
  if (this->now >= forward->request.deadline) {
    this->Refuse(forward, Reason::kDeadlineExceeded);
  } else if (!this->EndpointOf(forward->endpoint).is_alive) {
    this->Refuse(forward, Reason::kConnectFailed);
  } else if (IsLogged(operation) && !this->defects.ack_without_quorum &&
             !owner.tracker.CanConfirm(forward->request.deadline, this->now)) {
    this->Refuse(forward, Reason::kNoQuorum);
  } else if (IsInTransaction(operation)) {
    const auto decision =
        owner.transactions.Admit(forward->transaction, forward->request.sequence, this->now);
    if (decision.transaction == nullptr) {
      this->Refuse(forward, decision.reason);
      return;
    }
    forward->term = decision.transaction->term;
    this->SendOn(forward, decision.transaction->connection);
  } else if (const auto id = owner.pool.Acquire(operation == Operation::kBegin, this->now)) {
    this->SendOn(forward, *id);
  } else {
    this->OpenConnections(forward->endpoint, 1);
    this->After(3ms, [this, forward] { this->Assign(forward); });
  }
}

void FaultSimulation::OpenConnections(const std::string& name, size_t waiting) {
  Owner& owner = this->OwnerOf(name);
  const ConnectionPool::Plan plan = owner.pool.Tick(waiting, this->now);
  for (uint64_t id : plan.close) {
    this->Close(name, id);
  }
  for (uint64_t id : plan.open) {
    this->After(2 * kHopDelay, [this, name, id, generation = owner.generation] {
      Owner& current = this->OwnerOf(name);
      if (current.generation != generation) {
        return;
      }
      current.silent.erase(id);
      this->EndpointOf(name).is_alive ? current.pool.OnOpened(id, this->now)
                                      : current.pool.OnOpenFailed(id, this->now, 0);
    });
  }
}

void FaultSimulation::SendOn(const ForwardPtr& forward, uint64_t id) {
  Owner& owner = this->OwnerOf(forward->endpoint);
  forward->exchanging = true;
  owner.pending[id] = [this, forward, id](const FakeReply& reply) {
    this->OnReply(forward, id, reply);
  };
  this->After(kHopDelay, [this, forward, id] { this->Deliver(forward, id); });
  this->After(std::min<Duration>(kOwnerTimeout, forward->request.deadline - this->now),
              [this, forward, id] {
                if (this->IsCurrent(forward) && forward->exchanging) {
                  this->OnLost(forward, id, Reason::kTimeout);
                }
              });
}

void FaultSimulation::Deliver(const ForwardPtr& forward, uint64_t id) {
  Owner& owner = this->OwnerOf(forward->endpoint);
  FakeEndpoint& endpoint = this->EndpointOf(forward->endpoint);
  this->OnStep(forward, Step::kBeforeRun);
  if (!endpoint.is_alive || owner.silent.contains(id)) {
    return;
  }
  FakeReply reply = endpoint.Execute(forward->generation * kMaxConnectionId + id, forward->request,
                                     forward->term);
  this->OnStep(forward, Step::kBeforeAnswer);
  if (forward->crossed) {
    reply = this->other_reply;
  } else if (forward->request.request_id != "target") {
    this->other_reply = reply;
  }
  this->After(forward->late ? kLateAnswerDelay : kHopDelay, [this, forward, id, reply] {
    Owner& receiver = this->OwnerOf(forward->endpoint);
    const auto found = receiver.pending.find(id);
    if (receiver.generation == forward->generation && !receiver.silent.contains(id) &&
        found != receiver.pending.end()) {
      // The answer goes to the request that now waits on the connection, even if it is the answer
      // to an earlier request.
      const auto handler = found->second;
      receiver.pending.erase(found);
      handler(reply);
    }
  });
}

void FaultSimulation::Close(const std::string& name, uint64_t id) {
  Owner& owner = this->OwnerOf(name);
  owner.pending.erase(id);
  this->EndpointOf(name).transactions.erase(owner.generation * kMaxConnectionId + id);
}

void FaultSimulation::OnReply(const ForwardPtr& forward, uint64_t id, const FakeReply& reply) {
  if (!this->IsCurrent(forward)) {
    return;
  }
  forward->exchanging = false;
  const StatementRequest& request = forward->request;
  if (reply.request_id != request.request_id && !this->defects.skip_request_id_check) {
    this->OnLost(forward, id, Reason::kConnectionLost);
    return;
  }
  Owner& owner = this->OwnerOf(forward->endpoint);
  StatementResult result = MakeResult(reply.ok ? Verdict::kRan : Verdict::kNotRun, reply.reason);
  result.result = reply.result;
  result.position = reply.position;
  result.status = reply.status;
  if (request.operation == Operation::kBegin && reply.ok) {
    result.transaction =
        forward->endpoint + "/" +
        owner.transactions.Begin(forward->endpoint, id, forward->term, this->now, this->sequence);
    owner.pool.OnAnswer(id, this->now);
  } else if (IsInTransaction(request.operation) && reply.ok &&
             request.operation != Operation::kCommit) {
    owner.transactions.Finished(forward->transaction, true, this->now);
    owner.pool.OnAnswer(id, this->now);
  } else {
    owner.transactions.End(forward->transaction);
    const bool clean = reply.ok || !IsInTransaction(request.operation);
    if (owner.pool.Release(id, clean, this->now)) {
      this->Close(forward->endpoint, id);
    }
  }
  this->OnStep(forward, Step::kBeforeConfirmation);
  if (reply.ok && IsLogged(request.operation) && !this->defects.ack_without_quorum) {
    this->Confirm(forward, reply, result);
  } else {
    this->Respond(forward, result);
  }
}

void FaultSimulation::OnLost(const ForwardPtr& forward, uint64_t id, Reason reason) {
  Owner& owner = this->OwnerOf(forward->endpoint);
  forward->exchanging = false;
  owner.pending.erase(id);
  owner.transactions.End(forward->transaction);
  if (this->defects.reuse_dirty_connection) {
    owner.pool.Release(id, true, this->now);
  } else if (reason == Reason::kTimeout) {
    for (uint64_t each : owner.pool.OnTimeout(id, kOwnerTimeout, this->now)) {
      this->Close(forward->endpoint, each);
    }
  } else {
    owner.pool.OnClosed(id);
    this->Close(forward->endpoint, id);
  }
  this->Respond(forward, MakeResult(Verdict::kMayHaveRun, reason));
}

void FaultSimulation::Confirm(const ForwardPtr& forward,
                              const FakeReply& reply,
                              const StatementResult& result) {
  if (!this->IsCurrent(forward)) {
    return;
  }
  Owner& owner = this->OwnerOf(forward->endpoint);
  const uint64_t id = this->sequence++;
  const auto done = [this, forward, result](bool confirmed) {
    this->Respond(forward,
                  confirmed ? result : MakeResult(Verdict::kMayHaveRun, Reason::kUnconfirmed));
  };
  const uint64_t term = this->defects.skip_fence_check ? this->state.term : reply.status.term;
  switch (owner.tracker.Add(id, term, reply.position, forward->request.deadline, this->now)) {
    case ConfirmationTracker::AddResult::kConfirmed:
      return done(true);
    case ConfirmationTracker::AddResult::kReplaced:
      return done(false);
    case ConfirmationTracker::AddResult::kWaiting:
      owner.confirmations.emplace(id, done);
  }
}

void FaultSimulation::Refuse(const ForwardPtr& forward, Reason reason) {
  this->Respond(forward, MakeResult(Verdict::kNotRun, reason));
}

void FaultSimulation::Respond(const ForwardPtr& forward, const StatementResult& result) {
  if (!this->IsCurrent(forward)) {
    return;
  }
  forward->responded = true;
  this->OwnerOf(forward->endpoint).forwards.erase(forward);
  const StatementResult received =
      forward->lost_response ? MakeResult(Verdict::kMayHaveRun, Reason::kConnectionLost) : result;
  this->After(forward->late_response ? kLateAnswerDelay : kHopDelay,
              [this, forward, received] { this->ReturnToEntry(forward, received); });
}

}  // namespace poplarmoor
