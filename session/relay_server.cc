#include "session/relay_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <utility>

#include "net/peer_network.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/relay_router.h"
#include "telemetry/log.h"
#include "wire/relay_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// A gateway rolls back a relayed transaction that is idle for the idle limit of transactions plus
// this time. The daemon that sends the transaction's statements ends the transaction itself when
// the transaction reaches the limit, so a longer idle time means that the sending daemon has died.
constexpr Duration kOrphanedTransactionGrace = 2s;

StatementSpec ToSpec(const RelayRequest& request) {
  StatementSpec spec;
  spec.id = request.id;
  spec.text = request.text;
  if (request.has_prepared) {
    spec.prepared = PreparedStatement{request.prepared_read_only, request.prepared_shape};
  }
  spec.opening = kOpeningNames.Find(request.opening).value_or(Opening::kNone);
  spec.demanded = request.demanded;
  return spec;
}

SessionState ToState(const RelayRequest& request) {
  SessionState state;
  state.session = request.session;
  state.organisation = request.organisation;
  state.key = request.key;
  state.values.insert(request.values.begin(), request.values.end());
  return state;
}

// `left` is the time at which the request left the sender, for which the age of the sender's copy
// holds.
RelayedAccess ToAccess(const RelayRequest& request, TimePoint left) {
  return {request.key, request.organisation, request.config_version,
          VerifiedTime(left, request.verified_age_us)};
}

RelayAnswer ToAnswer(const StatementAttempt& attempt) {
  RelayAnswer answer;
  answer.outcome = kAttemptOutcomeNames.NameOf(attempt.outcome);
  answer.failure = kAcquireFailureNames.NameOf(attempt.failure);
  answer.cause = attempt.cause;
  answer.rows = attempt.answer.rows;
  answer.signature = attempt.answer.signature;
  if (attempt.answer.error) {
    answer.error = kStatementErrorNames.NameOf(*attempt.answer.error);
  }
  answer.error_text = attempt.answer.error_text;
  answer.state = kTransactionStateNames.NameOf(attempt.answer.state);
  answer.position = attempt.answer.position.value_or(LogPosition{});
  answer.opening_position = attempt.opening_position.value_or(LogPosition{});
  return answer;
}

}  // namespace

RelayServer::RelayServer(asio::any_io_executor executor, Cluster* cluster)
    : executor(std::move(executor)), cluster(cluster) {
  cluster->access().OnChange([this] { this->EndWithdrawnTransactions(); });
}

void RelayServer::RegisterHandlers(PeerNetwork* network) {
  network->SetHandler(kRelayMessage, [this](std::string from, PeerMessage message) {
    return this->OnStatement(std::move(from), std::move(message));
  });
  network->SetHandler(kRelayEndMessage, [this](std::string, PeerMessage message) {
    return this->OnEnd(std::move(message));
  });
  network->SetHandler(
      kPingMessage,
      [](std::string, PeerMessage message) -> asio::awaitable<PeerMessage> { co_return message; });
  network->SetHandler(kRelayOrderMessage, [this](std::string, PeerMessage message) {
    return this->OnOrder(std::move(message));
  });
}

asio::awaitable<PeerMessage> RelayServer::OnStatement(std::string from, PeerMessage message) {
  const RelayRequest request = DecodeRelayRequest(message.body);
  const TimePoint now = BootNow();
  const TimePoint sent = TimePoint(Duration(static_cast<int64_t>(request.sent_us)));
  const Duration delay = this->delays.Record(from, request.clock, sent, now);
  const TimePoint deadline = now + Duration(static_cast<int64_t>(request.limit_us)) - delay;
  RelayAnswer answer;
  ++this->running;
  try {
    answer = co_await this->Run(request, now - delay, deadline);
  } catch (...) {
    --this->running;
    throw;
  }
  --this->running;
  std::string body = EncodeRelayAnswer(answer);
  co_return PeerMessage(kRelayMessage, std::move(body));
}

asio::awaitable<RelayAnswer> RelayServer::Run(const RelayRequest& request,
                                              TimePoint left,
                                              TimePoint deadline) {
  const TimePoint arrived = BootNow();
  const SessionState state = ToState(request);
  const RelayedAccess access = ToAccess(request, left);
  StatementAttempt attempt;
  LeasedConnection leased;
  const auto existing = this->transactions.find(request.lease);
  const bool continues = existing != this->transactions.end();  // A transaction is open.
  if (const auto refusal = this->Refuse(request, access)) {
    if (existing != this->transactions.end()) {
      leased = std::move(existing->second);
      this->transactions.erase(existing);
      this->EndLease(leased.pool, std::move(leased.lease), true);
    }
    co_return *refusal;
  }
  if (existing != this->transactions.end()) {
    leased = std::move(existing->second);
    this->transactions.erase(existing);
  } else if (this->draining) {
    // Another gateway is tried. kUnreachable would say that the endpoint may be down.
    attempt.failure = AcquireFailure::kTooMany;
    attempt.cause = "the gateway is stopping";
    co_return ToAnswer(attempt);
  } else {
    leased.pool = this->cluster->FindEndpoint(request.endpoint);
    const bool transaction_gone =
        request.transaction && request.opening == kOpeningNames.NameOf(Opening::kNone);
    if (leased.pool == nullptr || leased.pool->departed || leased.pool->down || transaction_gone) {
      attempt.failure = AcquireFailure::kUnreachable;
      attempt.cause = transaction_gone ? "the gateway no longer has the transaction"
                                       : "the gateway cannot reach the endpoint";
      co_return ToAnswer(attempt);
    }
    leased.lease = co_await this->Acquire(leased.pool, request, access, deadline - BootNow());
    if (const auto refusal = this->Refuse(request, access)) {
      if (leased.lease.connection != nullptr) {
        leased.pool->Release(std::move(leased.lease));
      }
      co_return *refusal;
    }
  }
  const bool too_late = !continues && !this->cluster->TakesStatements(*leased.pool);
  if (leased.lease.connection != nullptr && too_late) {
    // kUnreachable would say that the endpoint may be down.
    leased.pool->Release(std::move(leased.lease));
    attempt.failure = AcquireFailure::kTooMany;
    attempt.cause = "the endpoint takes no more statements";
    co_return ToAnswer(attempt);
  }
  if (leased.lease.connection != nullptr && BootNow() >= deadline) {
    // The sender has answered its caller. The endpoint may have left since.
    Log(LogLevel::kInfo, "relayed statement not sent: its time limit has passed",
        {{"request_id", request.id},
         {"endpoint", request.endpoint},
         {"late_ms", ToMillis(BootNow() - deadline)}});
    this->EndLease(leased.pool, std::move(leased.lease), continues);
    attempt.failure = AcquireFailure::kOverloaded;
    attempt.cause = "the statement's time limit has passed";
    co_return ToAnswer(attempt);
  }
  if (leased.lease.connection == nullptr) {
    attempt.failure = leased.lease.failure;
    attempt.cause = kAcquireFailureNames.NameOf(leased.lease.failure);
    co_return ToAnswer(attempt);
  }
  const StatementSpec spec = ToSpec(request);
  EndpointChannel* channel = leased.lease.connection.get();
  leased.pool->OnSent(channel);
  attempt = co_await channel->Run(spec, state, std::max<Duration>(deadline - BootNow(), 1ms));
  leased.pool->OnAnswered(channel);
  leased.pool->suspected = leased.pool->suspected || attempt.connection_failed;
  if (attempt.answer.error == StatementError::kOverloaded) {
    leased.pool->NoteOverload();
  }
  ServiceGroup* group = this->cluster->FindGroup(leased.pool->record().service);
  RelayAnswer answer = ToAnswer(attempt);
  if (group != nullptr) {
    if (attempt.opening_position) {
      // The endpoint's log position was read after the request had arrived, so it covers every
      // commit that was acknowledged before.
      group->freshness.Record(arrived, *attempt.opening_position);
    }
    if (const auto newest = group->freshness.Newest()) {
      answer.newest = newest->position;
      answer.newest_age_us = static_cast<uint64_t>((BootNow() - newest->sent).count());
    }
  }
  const bool keep = request.transaction && !this->ending_transactions &&
                    !this->cluster->access().IsWithdrawn(access) &&
                    attempt.outcome == StatementAttempt::Outcome::kAnswered &&
                    attempt.answer.state == TransactionState::kOpen;
  if (keep) {
    leased.last_used = BootNow();
    leased.access = access;
    this->transactions[request.lease] = std::move(leased);
  } else {
    const bool open = spec.opening != Opening::kNone || request.transaction;
    const bool ended = attempt.outcome == StatementAttempt::Outcome::kAnswered &&
                       attempt.answer.state == TransactionState::kNone;
    this->EndLease(leased.pool, std::move(leased.lease), open && !ended);
  }
  co_return answer;
}

asio::awaitable<EndpointLease> RelayServer::Acquire(std::shared_ptr<EndpointPool> pool,
                                                    const RelayRequest& request,
                                                    const RelayedAccess& access,
                                                    Duration limit) {
  AccessControl& control = this->cluster->access();
  const auto work = [](std::shared_ptr<EndpointPool> pool, int rank, bool transaction,
                       Duration limit, SessionState state) -> asio::awaitable<EndpointLease> {
    co_return co_await pool->AcquireDirect(rank, transaction, limit, state);
  };
  SessionState state;
  state.session = request.session;
  state.organisation = request.organisation;
  state.key = request.key;
  auto acquired = work(pool, request.rank, request.transaction, limit, std::move(state));
  if (this->cluster->routes().organisations == std::nullopt) {
    co_return co_await std::move(acquired);
  }
  std::function<bool()> allowed = [&control, access] { return !control.IsWithdrawn(access); };
  std::function<void(EndpointLease)> discard = [pool](EndpointLease lease) {
    if (lease.connection != nullptr) {
      pool->Release(std::move(lease));
    }
  };
  auto lease = co_await control.AwaitWhile<EndpointLease>(std::move(allowed), std::move(acquired),
                                                          std::move(discard));
  if (lease) {
    co_return std::move(*lease);
  }
  EndpointLease refused;
  refused.failure = AcquireFailure::kOverloaded;
  co_return refused;
}

std::optional<RelayAnswer> RelayServer::Refuse(const RelayRequest& request,
                                               const RelayedAccess& access) {
  const auto refusal = this->cluster->access().CheckRelayed(access);
  if (!refusal) {
    return std::nullopt;
  }
  this->cluster->access().NoteRefusal("relayed_statement", request.organisation, request.id,
                                      *refusal);
  StatementAttempt attempt;
  attempt.failure = AcquireFailure::kOverloaded;
  if (refusal->error == StatementError::kUnauthorised) {
    attempt.answer.error = refusal->error;
  }
  attempt.cause = refusal->cause;
  return ToAnswer(attempt);
}

void RelayServer::EndLease(std::shared_ptr<EndpointPool> pool,
                           EndpointLease lease,
                           bool roll_back) {
  const auto work = [](std::shared_ptr<EndpointPool> pool,
                       EndpointLease lease) -> asio::awaitable<void> {
    co_await lease.connection->RollBack();
    pool->Release(std::move(lease));
  };
  if (roll_back && lease.connection->is_open()) {
    asio::co_spawn(this->executor, work(std::move(pool), std::move(lease)), asio::detached);
  } else {
    pool->Release(std::move(lease));
  }
}

asio::awaitable<PeerMessage> RelayServer::OnEnd(PeerMessage message) {
  uint64_t lease = 0;
  std::from_chars(message.body.data(), message.body.data() + message.body.size(), lease);
  const auto existing = this->transactions.find(lease);
  if (existing != this->transactions.end()) {
    LeasedConnection leased = std::move(existing->second);
    this->transactions.erase(existing);
    this->EndLease(leased.pool, std::move(leased.lease), true);
  }
  co_return PeerMessage(kRelayEndMessage, std::string());
}

asio::awaitable<PeerMessage> RelayServer::OnOrder(PeerMessage message) {
  const RelayOrder request = DecodeRelayOrder(message.body);
  const auto pool = this->cluster->FindEndpoint(request.endpoint);
  const auto order = kEndpointOrderNames.Find(request.order);
  RelayReport report;
  if (pool == nullptr || !order || pool->down) {
    report.failure = "the endpoint is unreachable from this daemon";
  } else {
    try {
      const Duration limit(static_cast<int64_t>(request.limit_us));
      EndpointReport answer;
      if (*order == EndpointOrder::kStatus && !pool->is_relayed()) {
        answer = co_await pool->QueryStatus(limit);
      } else {
        // If this daemon itself normally reaches the endpoint through gateways, it has no idle
        // connection to the endpoint and opens a new one.
        answer = co_await pool->SendOrder(*order, request.term, limit, pool->is_relayed());
      }
      report.is_primary = answer.is_primary;
      report.term = answer.term;
      report.received = answer.received;
      report.active_pause_term = answer.active_pause_term;
      report.connected_us = static_cast<uint64_t>((BootNow() - answer.connected_since).count());
    } catch (const std::runtime_error& error) {
      report.failure = error.what();
    }
  }
  std::string body = EncodeRelayReport(report);
  co_return PeerMessage(kRelayOrderMessage, std::move(body));
}

void RelayServer::EndTransactions() {
  this->ending_transactions = true;
  for (auto& [number, leased] : std::exchange(this->transactions, {})) {
    this->EndLease(leased.pool, std::move(leased.lease), true);
  }
}

void RelayServer::EndWithdrawnTransactions() {
  for (auto entry = this->transactions.begin(); entry != this->transactions.end();) {
    if (!this->cluster->access().IsWithdrawn(entry->second.access)) {
      ++entry;
      continue;
    }
    Log(LogLevel::kInfo, "relayed transaction rolled back: its API key was withdrawn",
        {{"endpoint", entry->second.pool->record().id},
         {"organisation", entry->second.access.organisation},
         {"config_version", this->cluster->routes().version}});
    this->EndLease(entry->second.pool, std::move(entry->second.lease), true);
    entry = this->transactions.erase(entry);
  }
}

void RelayServer::EndOrphanedTransactions() {
  const Duration limit = this->cluster->routes().transaction_idle_limit + kOrphanedTransactionGrace;
  const TimePoint now = BootNow();
  for (auto entry = this->transactions.begin(); entry != this->transactions.end();) {
    if (now - entry->second.last_used <= limit) {
      ++entry;
      continue;
    }
    Log(LogLevel::kInfo, "relayed transaction rolled back: the relaying daemon has stopped sending",
        {{"endpoint", entry->second.pool->record().id}, {"lease", entry->first}});
    this->EndLease(entry->second.pool, std::move(entry->second.lease), true);
    entry = this->transactions.erase(entry);
  }
}

}  // namespace poplarmoor
