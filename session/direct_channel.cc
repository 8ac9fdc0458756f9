#include "session/direct_channel.h"

#include <algorithm>

#include "session/boot_clock.h"
#include "session/session_codec.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Time limit for the endpoint's answers to the session values, the prepared statement and the begin
// of the transaction that precede a statement: two round trips and one retransmission of a lost
// packet.
constexpr Duration kSetupLimit = 500ms;
// Time limit for the rollback on a connection that returns to the pool.
constexpr Duration kRollBackLimit = 1s;

bool IsConnectionFailure(const EndpointSessionError& error) {
  return error.kind != EndpointSessionError::Kind::kProtocol;
}

}  // namespace

DirectChannel::DirectChannel(std::unique_ptr<EndpointSession> session, const SessionCodec* codec)
    : session(std::move(session)), codec(codec) {
  this->opened_at = this->session->opened_at();
}

asio::awaitable<bool> DirectChannel::Prepare(const StatementSpec& spec,
                                             const SessionState& state,
                                             Duration limit,
                                             StatementAttempt* attempt) {
  const PreparedStatement* prepared = spec.prepared ? &*spec.prepared : nullptr;
  std::vector<std::string> messages;
  for (const SetupStep& step : this->connection_state.SetupStepsFor(state, prepared)) {
    messages.push_back(this->codec->EncodeSetup(step));
  }
  const size_t steps = messages.size();
  if (spec.opening == Opening::kWritable) {
    messages.push_back(this->codec->EncodeBegin());
  } else if (spec.opening == Opening::kReadOnly) {
    messages.push_back(this->codec->EncodeReadOnlyBegin(spec.demanded));
  }
  this->used_by = state.session;
  if (messages.empty()) {
    co_return true;
  }
  const TimePoint sent = BootNow();
  try {
    const auto answers =
        co_await this->session->Exchange(std::move(messages), std::min(limit, kSetupLimit));
    attempt->setup = BootNow() - sent;
    for (size_t number = 0; number < answers.size(); ++number) {
      if (!answers[number].error) {
        continue;
      }
      attempt->answer = answers[number];
      attempt->cause = "the endpoint refused the session's setup or the transaction: " +
                       answers[number].error_text;
      if (number < steps) {
        this->Close();  // The connection's session values are unknown.
      } else {
        this->connection_state.Apply(state, prepared);
      }
      co_return false;
    }
    this->connection_state.Apply(state, prepared);
    if (spec.opening == Opening::kWritable) {
      attempt->opening_position = answers.back().position;
    }
    co_return true;
  } catch (const EndpointSessionError& error) {
    attempt->cause = error.what();
    attempt->connection_failed = IsConnectionFailure(error);
  }
  co_return false;
}

asio::awaitable<StatementAttempt> DirectChannel::Run(const StatementSpec& spec,
                                                     const SessionState& state,
                                                     Duration limit) {
  StatementAttempt attempt;
  const TimePoint deadline = BootNow() + limit;
  const bool prepared = co_await this->Prepare(spec, state, limit, &attempt);
  if (!prepared || spec.text.empty()) {
    co_return attempt;
  }
  const LogPosition demanded = spec.opening == Opening::kNone ? spec.demanded : LogPosition{};
  std::vector<std::string> messages;
  messages.push_back(this->codec->EncodeStatement(spec.id, spec.text, demanded));
  try {
    auto answers = co_await this->session->Exchange(std::move(messages),
                                                    std::max<Duration>(deadline - BootNow(), 1ms));
    attempt.answer = std::move(answers.front());
    attempt.outcome = StatementAttempt::Outcome::kAnswered;
  } catch (const EndpointSessionError& error) {
    attempt.outcome = StatementAttempt::Outcome::kLost;
    attempt.cause = error.what();
    attempt.connection_failed = IsConnectionFailure(error);
  }
  co_return attempt;
}

asio::awaitable<void> DirectChannel::RollBack() {
  std::vector<std::string> messages;
  messages.push_back(this->codec->EncodeRollback());
  try {
    const auto answers = co_await this->session->Exchange(std::move(messages), kRollBackLimit);
    if (answers.front().error || answers.front().state != TransactionState::kNone) {
      this->Close();
    }
  } catch (const EndpointSessionError& error) {
    Log(LogLevel::kDebug, "rollback failed, connection closed", {{"cause", error.what()}});
  }
}

}  // namespace poplarmoor
