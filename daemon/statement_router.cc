#include "daemon/statement_router.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "daemon/cluster_view.h"
#include "daemon/owner_service.h"
#include "daemon/service_state.h"
#include "net/now.h"
#include "net/peer_network.h"
#include "net/random_bits.h"
#include "wire/codec_error.h"
#include "wire/peer_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

/// Minimum time between two reads of a service's group state from the control plane.
constexpr Duration kRefreshInterval = 5ms;

/// Longest time between two checks for a change of the group state, such as a promotion. The checks
/// are made while a request waits for an answer or for such a change.
constexpr Duration kGroupCheckInterval = 10ms;

/// Time after a request's deadline for which the entry daemon still waits for the owner's answer,
/// because the owner may answer as late as the deadline.
constexpr Duration kAnswerTransferTime = 50ms;

/// @returns Whether a result shows a failure of the endpoint itself: the owner could not connect to
///     it, lost the connection, or received no answer in time.
bool IsEndpointFailure(const StatementResult& result) {
  return result.reason == Reason::kConnectFailed || result.reason == Reason::kConnectionLost ||
         result.reason == Reason::kTimeout;
}

}  // namespace

StatementRouter::StatementRouter(std::string daemon,
                                 ClusterView* view,
                                 std::shared_ptr<OwnerService> owner,
                                 PeerNetwork* peers)
    : daemon(std::move(daemon)), view(view), owner(std::move(owner)), peers(peers) {}

std::shared_ptr<ServiceState> StatementRouter::FindState(const ServiceSettings& settings) {
  auto state = this->states.With(settings.service, [&](States& known) {
    auto& entry = known[settings.service];
    if (entry == nullptr) {
      entry = std::make_shared<ServiceState>();
    }
    return entry;
  });
  std::lock_guard lock(state->mutex);
  if (state->policy == nullptr || state->routing != settings.routing) {
    state->policy = Registry<RoutingPolicy>::Create(settings.routing);
    state->routing = settings.routing;
  }
  this->RefreshGroup(state.get(), settings.service, Now());
  return state;
}

bool StatementRouter::RefreshGroup(ServiceState* state, const std::string& service, TimePoint now) {
  if (now - state->refreshed_at < kRefreshInterval) {
    return false;
  }
  state->refreshed_at = now;
  const std::optional<GroupState> group = this->view->FindGroup(service);
  return group && *group != state->group.State() && state->group.SetState(*group);
}

template <typename Function>
RequestAction StatementRouter::StepMachine(ServiceState* state, Function function) {
  std::lock_guard lock(state->mutex);
  const RequestContext context{state->group, *state->policy, state->budget, Now(), RandomBits()};
  return function(context);
}

asio::awaitable<RoutedResult> StatementRouter::Run(StatementRequest request,
                                                   ServiceSettings settings,
                                                   bool primary_required) {
  const auto self = this->shared_from_this();
  const auto executor = co_await asio::this_coro::executor;
  const auto state = this->FindState(settings);
  const auto attempt_results = std::make_shared<EventQueue<AttemptResult>>(executor);
  RequestOptions options;
  options.records_request_ids = settings.records_request_ids;
  options.primary_required = primary_required;
  RequestMachine machine(request, options);
  RoutedResult routed;

  RequestAction action =
      this->StepMachine(state.get(), [&](const auto& context) { return machine.Start(context); });
  while (action.kind != RequestAction::Kind::kAnswer) {
    if (action.kind == RequestAction::Kind::kSend) {
      asio::co_spawn(executor, this->RunAttempt(attempt_results, state, request, action),
                     asio::detached);
    }
    const std::optional<AttemptResult> attempt_result =
        co_await this->NextAttemptResult(attempt_results, state, action.until);
    action = this->StepMachine(state.get(), [&](const auto& context) {
      if (!attempt_result) {
        return machine.OnTimer(context);
      }
      if (!attempt_result->answered) {
        return machine.OnSendFailed(attempt_result->attempt, attempt_result->sent, context);
      }
      routed.owner = attempt_result->routed.owner;
      routed.owner_address = attempt_result->routed.owner_address;
      return machine.OnAnswer(attempt_result->attempt, attempt_result->routed.result, context);
    });
  }
  routed.result = std::move(action.result);
  co_return routed;
}

asio::awaitable<std::optional<StatementRouter::AttemptResult>> StatementRouter::NextAttemptResult(
    AttemptResults attempt_results,
    std::shared_ptr<ServiceState> state,
    TimePoint until) {
  while (true) {
    std::optional<AttemptResult> attempt_result =
        co_await attempt_results->Pop(std::min<TimePoint>(until, Now() + kGroupCheckInterval));
    if (attempt_result) {
      co_return attempt_result;
    }
    const TimePoint now = Now();
    std::lock_guard lock(state->mutex);
    if (now >= until || this->RefreshGroup(state.get(), state->group.State().service, now)) {
      co_return std::nullopt;
    }
  }
}

asio::awaitable<void> StatementRouter::RunAttempt(AttemptResults attempt_results,
                                                  std::shared_ptr<ServiceState> state,
                                                  StatementRequest request,
                                                  RequestAction action) {
  const auto self = this->shared_from_this();
  AttemptResult attempt_result;
  attempt_result.attempt = action.attempt;
  std::optional<EndpointInfo> info;
  {
    std::lock_guard lock(state->mutex);
    const GroupView::Endpoint* endpoint = state->group.Find(action.endpoint);
    if (endpoint != nullptr) {
      info = endpoint->info;
      state->group.OnSent(action.endpoint);
    }
  }
  if (!info) {
    attempt_results->Push(std::move(attempt_result));
    co_return;
  }
  const std::vector<PeerInfo> owners = this->view->OwnersOf(*info);
  const std::string service = request.service;
  bool failed = false;
  if (action.owner_index < owners.size()) {
    const PeerInfo& chosen = owners[action.owner_index];
    attempt_result.routed.owner = chosen.daemon;
    attempt_result.routed.owner_address = chosen.address;
    request.required = action.required;
    try {
      attempt_result.routed.result =
          co_await this->Forward(chosen, std::move(request), action.endpoint, action.term);
      attempt_result.answered = true;
      failed = IsEndpointFailure(attempt_result.routed.result);
    } catch (const PeerError& error) {
      attempt_result.sent = error.sent;
    }
  }
  bool higher_term = false;
  {
    std::lock_guard lock(state->mutex);
    state->group.OnDone(action.endpoint, failed, Now());
    if (attempt_result.routed.result.status) {
      higher_term = state->group.OnStatus(*attempt_result.routed.result.status, Now());
    }
  }
  if (higher_term) {
    this->view->ReportHigherTerm(service, attempt_result.routed.result.status->term);
  }
  attempt_results->Push(std::move(attempt_result));
}

asio::awaitable<StatementResult> StatementRouter::Forward(const PeerInfo& to,
                                                          StatementRequest request,
                                                          const std::string& endpoint,
                                                          uint64_t term) {
  ForwardRequest forward{std::move(request), endpoint, term};
  if (to.daemon == this->daemon) {
    co_return co_await this->owner->Run(std::move(forward));
  }
  const TimePoint now = Now();
  const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(forward.statement.deadline -
                                                                    now + kAnswerTransferTime);
  PeerMessage message("forward", PackForward(forward, now));
  const PeerMessage answer = co_await this->peers->Call(to.address, std::move(message), timeout);
  try {
    co_return UnpackResult(answer.body);
  } catch (const CodecError& error) {
    throw PeerError("malformed answer from daemon " + to.daemon + ": " + error.what(), true);
  }
}

asio::awaitable<RoutedResult> StatementRouter::RunInTransaction(StatementRequest request,
                                                                TransactionToken transaction) {
  const auto self = this->shared_from_this();
  RoutedResult routed;
  routed.owner = transaction.daemon;
  routed.owner_address = transaction.address;
  const PeerInfo to{transaction.daemon, transaction.address, {}};
  try {
    // Term 0: the owner uses the term in which the transaction began.
    routed.result = co_await this->Forward(to, std::move(request), transaction.endpoint, 0);
  } catch (const PeerError& error) {
    routed.result.verdict = error.sent ? Verdict::kMayHaveRun : Verdict::kNotRun;
    routed.result.reason = error.sent ? Reason::kConnectionLost : Reason::kTransactionGone;
    routed.result.message =
        "the owner of the transaction cannot be reached: " + std::string(error.what());
  }
  co_return routed;
}

}  // namespace poplarmoor
