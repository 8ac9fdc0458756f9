#include "session/relay_channel.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "net/peer_network.h"
#include "session/access_control.h"
#include "session/boot_clock.h"
#include "session/relay_router.h"
#include "telemetry/log.h"
#include "wire/codec_error.h"
#include "wire/relay_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Added to a statement's time limit to get the longest time that this daemon waits for a gateway's
// answer: the gateway applies the time limit itself, and its answer takes another round trip.
constexpr Duration kRelaySlack = 20ms;
// Time limit of the call that tells a gateway to roll back a transaction.
constexpr Duration kTransactionEndTimeout = 1s;
constexpr int kMaxGatewayTries = 3;  // Highest number of gateways that one attempt tries.

std::chrono::milliseconds ToCallLimit(Duration limit) {
  return std::chrono::milliseconds(ToMillis(limit + kRelaySlack) + 1);
}

StatementAttempt ToAttempt(const RelayAnswer& relayed) {
  StatementAttempt attempt;
  attempt.outcome =
      kAttemptOutcomeNames.Find(relayed.outcome).value_or(StatementAttempt::Outcome::kLost);
  attempt.failure =
      kAcquireFailureNames.Find(relayed.failure).value_or(AcquireFailure::kUnreachable);
  attempt.cause = relayed.cause;
  attempt.answer.rows = relayed.rows;
  attempt.answer.signature = relayed.signature;
  if (!relayed.error.empty()) {
    attempt.answer.error =
        kStatementErrorNames.Find(relayed.error).value_or(StatementError::kOther);
  }
  attempt.answer.error_text = relayed.error_text;
  attempt.answer.state =
      kTransactionStateNames.Find(relayed.state).value_or(TransactionState::kFailed);
  if (relayed.position != LogPosition{}) {
    attempt.answer.position = relayed.position;
  }
  if (relayed.opening_position != LogPosition{}) {
    attempt.opening_position = relayed.opening_position;
  }
  if (relayed.newest != LogPosition{}) {
    attempt.relayed_position = relayed.newest;
    attempt.relayed_age = Duration(static_cast<int64_t>(relayed.newest_age_us));
  }
  return attempt;
}

// Checks the session's API key and records in the request by which copy of the configuration.
// @param attempt Receives the cause if the statement may not run.
// @returns Whether the statement may run.
bool MayRelay(const StatementSpec& spec,
              const SessionState& state,
              RelayRequest* request,
              StatementAttempt* attempt) {
  if (spec.access == nullptr) {
    return true;
  }
  if (const auto refusal = spec.access->Check(state)) {
    attempt->outcome = StatementAttempt::Outcome::kNotSent;
    attempt->failure = AcquireFailure::kOverloaded;
    if (refusal->error == StatementError::kUnauthorised) {
      attempt->answer.error = refusal->error;
    }
    attempt->cause = refusal->cause;
    return false;
  }
  request->config_version = spec.access->version();
  request->verified_age_us = ToVerifiedAge(spec.access->Age());
  return true;
}

// Tells a gateway to roll back a relayed transaction that this daemon gives up without a commit.
asio::awaitable<void> NotifyTransactionEnd(RelayRouter* router,
                                           std::string gateway,
                                           uint64_t lease) {
  PeerMessage message(kRelayEndMessage, std::to_string(lease));
  try {
    co_await router->peers()->Call(gateway, std::move(message), ToCallLimit(kTransactionEndTimeout),
                                   PeerCallKind::kRepeatable);
  } catch (const PeerError& error) {
    // If this message does not arrive, the gateway rolls back the transaction once the transaction
    // has been idle for too long.
    Log(LogLevel::kInfo, "could not notify the gateway of a transaction's end",
        {{"gateway", gateway}, {"cause", error.what()}});
  }
}

}  // namespace

RelayChannel::RelayChannel(RelayRouter* router,
                           EndpointRecord endpoint,
                           uint64_t lease,
                           int rank,
                           bool transaction,
                           bool reaches_endpoint)
    : router(router),
      endpoint(std::move(endpoint)),
      lease(lease),
      rank(rank),
      transaction(transaction),
      reaches_endpoint(reaches_endpoint) {}

asio::awaitable<StatementAttempt> RelayChannel::Run(const StatementSpec& spec,
                                                    const SessionState& state,
                                                    Duration limit) {
  RelayRequest request;
  request.lease = this->lease;
  request.endpoint = this->endpoint.id;
  request.rank = this->rank;
  request.transaction = this->transaction;
  request.session = state.session;
  request.organisation = state.organisation;
  request.key = state.key;
  request.values.insert(state.values.begin(), state.values.end());
  if (spec.prepared) {
    request.has_prepared = true;
    request.prepared_read_only = spec.prepared->read_only;
    request.prepared_shape = spec.prepared->shape;
  }
  request.opening = kOpeningNames.NameOf(spec.opening);
  request.demanded = spec.demanded;
  request.clock = this->router->clock();
  request.id = spec.id;
  request.text = spec.text;
  request.limit_us = static_cast<uint64_t>(limit.count());

  StatementAttempt attempt;
  // The loss of the gateways that this channel may use does not mean that the endpoint is down if
  // this daemon reaches the endpoint itself, or if the channel is bound to one gateway by its
  // transaction. With two gateways for all statements, every daemon would otherwise take the
  // primary for lost whenever a gateway dies.
  const bool others_may_reach =
      this->reaches_endpoint || (!this->gateway.empty() && this->router->plan().HasOrganisations());
  attempt.failure = others_may_reach ? AcquireFailure::kTooMany : AcquireFailure::kUnreachable;
  attempt.cause = "no gateway of the endpoint is reachable";
  const auto executor = co_await asio::this_coro::executor;
  const TimePoint deadline = BootNow() + limit;
  const PeerCallKind kind =
      spec.repeatable ? PeerCallKind::kRepeatable : PeerCallKind::kNonRepeatable;
  int tries = 0;
  const std::vector<Peer> usable =
      this->router->UsableGateways(this->endpoint, state.organisation, this->reaches_endpoint);
  for (const Peer& peer : usable) {
    if (this->router->peers() == nullptr || tries == kMaxGatewayTries || BootNow() >= deadline) {
      break;
    }
    if (!this->gateway.empty() && peer.address != this->gateway) {
      continue;  // Another gateway holds the transaction's connection.
    }
    if (!MayRelay(spec, state, &request, &attempt)) {
      break;
    }
    ++tries;
    const TimePoint now = BootNow();
    request.limit_us = static_cast<uint64_t>(std::max(deadline - now, Duration{}).count());
    request.sent_us = static_cast<uint64_t>(now.time_since_epoch().count());
    std::string body = EncodeRelayRequest(request);
    PeerMessage message(kRelayMessage, std::move(body));
    bool sent = false;
    try {
      const PeerMessage answer = co_await this->router->peers()->Call(
          peer.address, std::move(message), ToCallLimit(deadline - BootNow()), kind);
      attempt = ToAttempt(DecodeRelayAnswer(answer.body));
      this->router->health().NoteAnswer(peer, BootNow());
      const bool not_sent = attempt.outcome == StatementAttempt::Outcome::kNotSent;
      const bool endpoint_unreachable = not_sent && attempt.failure == AcquireFailure::kUnreachable;
      // If this gateway could open no connection because of the endpoint's connection limit,
      // another gateway may still have an idle connection. A daemon that reaches the endpoint
      // itself uses its own connections for a while.
      const bool at_limit = not_sent && attempt.failure == AcquireFailure::kTooMany;
      if (endpoint_unreachable || (at_limit && this->reaches_endpoint)) {
        this->router->health().NoteUnreachable(this->endpoint.id, peer, BootNow());
      }
      if (endpoint_unreachable && this->reaches_endpoint) {
        attempt.failure = AcquireFailure::kTooMany;
      }
      if ((endpoint_unreachable || at_limit) && this->gateway.empty()) {
        continue;
      }
      if (this->transaction) {
        this->gateway = peer.address;
        this->holds_connection = attempt.outcome == StatementAttempt::Outcome::kAnswered &&
                                 attempt.answer.state != TransactionState::kNone;
      }
      co_return attempt;
    } catch (const PeerError& error) {
      attempt.cause = error.what();
      sent = error.sent;
      if (!error.sent) {
        this->router->NoteLost(peer);
      }
    } catch (const CodecError& error) {
      attempt.cause = error.what();
      sent = true;
    }
    if (sent && this->transaction) {
      // The gateway may have opened the transaction, which then occupies one of the gateway's
      // connections. The gateway is therefore told to roll back the transaction.
      this->holds_connection = false;
      asio::co_spawn(executor, NotifyTransactionEnd(this->router, peer.address, this->lease),
                     asio::detached);
    }
    const bool may_try_next = spec.repeatable && this->gateway.empty() && BootNow() < deadline;
    if (sent && !may_try_next) {
      attempt.outcome = StatementAttempt::Outcome::kLost;
      break;
    }
  }
  this->open = false;
  co_return attempt;
}

asio::awaitable<void> RelayChannel::RollBack() {
  if (!this->holds_connection || this->router->peers() == nullptr) {
    co_return;
  }
  this->holds_connection = false;
  co_await NotifyTransactionEnd(this->router, this->gateway, this->lease);
  this->open = false;
}

}  // namespace poplarmoor
