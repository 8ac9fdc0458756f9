#include "session/caller_session.h"

#include <algorithm>

#include "session/boot_clock.h"
#include "session/caller_limits.h"
#include "session/cluster.h"
#include "session/organisation/limit_service.h"
#include "session/session_codec.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// A caller that has connected must send its opening message within this time.
constexpr Duration kOpenTimeout = 10s;
// A new session waits up to this time until this daemon has received its first configuration. The
// time is below 2 s, after which callers without an answer to their opening message close the
// connection.
constexpr Duration kFirstConfigurationWait = 1500ms;
// Size in bytes that an entry of the session's state takes in addition to its texts.
constexpr size_t kStateEntryOverhead = 128;

constexpr char kCopyTooOldText[] = "this daemon's copy of the configuration is too old";

// Returns the text of an error of CallerSession::CheckRoute().
std::string RouteErrorText(StatementError error, const std::string& database) {
  return error == StatementError::kUnknownDatabase ? database : kCopyTooOldText;
}

StatementAnswer Success(TransactionState state) {
  StatementAnswer answer;
  answer.signature = "-";
  answer.state = state;
  return answer;
}

StatementAnswer Failure(StatementError error, std::string_view text, TransactionState state) {
  StatementAnswer answer;
  answer.error = error;
  answer.error_text = text;
  answer.state = state;
  return answer;
}

}  // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket,
                             uint64_t number,
                             Cluster* cluster,
                             StatementRunner* runner,
                             const SessionCodec* codec,
                             std::shared_ptr<CallerLimits> limits,
                             LimitService* limit_service)
    : stream(std::move(socket), limits, codec->max_message()),
      timer(this->stream.executor()),
      cluster(cluster),
      runner(runner),
      codec(codec),
      limit_service(limit_service),
      limits(limits),
      state_share(&this->limits->states) {
  this->state.session = number;
}

// -----------------------------------------------------------------------------
// Session lifetime

asio::awaitable<void> CallerSession::Serve() {
  const auto self = this->shared_from_this();
  if (co_await this->Open()) {
    while (!(this->draining && this->IsIdle())) {
      if (this->ending_transactions || this->cluster->access().IsWithdrawn(this->state)) {
        this->RollBack();
      }
      auto line = co_await this->ReadLine();
      if (!line) {
        break;
      }
      CallerMessage message = this->codec->DecodeCaller(*line);
      line.reset();
      if (message.kind == CallerMessage::Kind::kClose) {
        break;
      }
      const StatementAnswer answer = co_await this->Answer(std::move(message));
      std::string text = this->codec->EncodeAnswer(answer);
      const bool written = co_await this->Write(std::move(text));
      if (!written || answer.error == StatementError::kUnauthorised) {
        break;
      }
    }
  }
  if (this->transaction) {
    this->runner->Discard(&*this->transaction);
  }
  this->stream.Close();
}

asio::awaitable<bool> CallerSession::Open() {
  const auto line = co_await this->ReadLine();
  if (!line) {
    co_return false;
  }
  const CallerMessage message = this->codec->DecodeCaller(*line);
  std::string refusal;
  if (message.kind != CallerMessage::Kind::kOpen) {
    refusal = this->codec->EncodeRefusal(StatementError::kMalformed,
                                         "the first message must name the session's database");
  } else if (!co_await this->cluster->AwaitReady(kFirstConfigurationWait)) {
    refusal = this->codec->EncodeRefusal(StatementError::kOverloaded,
                                         "this daemon has not received a configuration yet");
  } else if (const auto error = this->CheckRoute(message.database, "session")) {
    refusal = this->codec->EncodeRefusal(*error, RouteErrorText(*error, message.database));
  }
  if (!refusal.empty()) {
    const auto age = this->cluster->access().Age();
    Log(LogLevel::kInfo, "session refused",
        {{"database", message.database},
         {"cause", refusal.substr(0, refusal.find('\r'))},
         {"config_version", this->cluster->routes().version},
         {"copy_age_ms", age ? ToMillis(*age) : -1}});
    co_await this->Write(refusal);
    co_return false;
  }
  if (auto denial = this->RefuseOpening(message)) {
    co_await this->Write(std::move(*denial));
    co_return false;
  }
  this->database = message.database;
  this->opened = true;
  std::string text = this->codec->EncodeOpened();
  co_return co_await this->Write(std::move(text));
}

std::optional<StatementError> CallerSession::CheckRoute(const std::string& name,
                                                        std::string_view subject) const {
  const bool is_known = this->cluster->routes().Find(name) != nullptr;
  const CopyUse use = this->cluster->configuration().Use();
  if (use == CopyUse::kAll) {
    return is_known ? std::nullopt : std::optional(StatementError::kUnknownDatabase);
  }
  if (is_known && use == CopyUse::kKnownRoutes) {
    return std::nullopt;
  }
  this->cluster->configuration().NoteRefusal(subject);
  return StatementError::kOverloaded;
}

std::optional<std::string> CallerSession::RefuseOpening(const CallerMessage& message) {
  const AccessControl& access = this->cluster->access();
  this->presented_key = message.key;
  access.Resolve(*this->cluster->routes().Find(message.database), message.key, &this->state);
  const auto refusal = access.Check(this->state);
  if (!refusal) {
    return std::nullopt;
  }
  access.NoteRefusal("session", this->state.organisation, "", *refusal);
  if (this->cluster->configuration().Use() != CopyUse::kAll) {
    // The key may have been added since.
    this->cluster->configuration().NoteRefusal("session");
    return this->codec->EncodeRefusal(StatementError::kOverloaded, kCopyTooOldText);
  }
  return this->codec->EncodeRefusal(refusal->error, refusal->cause);
}

std::optional<StatementAnswer> CallerSession::RefuseWithdrawnKey(const CallerMessage& message) {
  const AccessControl& access = this->cluster->access();
  const std::string organisation = this->state.organisation;
  const DatabaseRoute* route = this->cluster->routes().Find(this->database);
  if (!this->transaction && route != nullptr) {
    access.Resolve(*route, this->presented_key, &this->state);
  }
  if (!access.IsWithdrawn(this->state)) {
    return std::nullopt;
  }
  const AccessRefusal refusal{AccessVerdict::kUnknownKey, StatementError::kUnauthorised,
                              "the API key was withdrawn"};
  access.NoteRefusal("statement", organisation, message.id, refusal);
  return Failure(refusal.error, refusal.cause, this->State());
}

void CallerSession::EndWithdrawnTransaction() {
  if (this->waiting && this->cluster->access().IsWithdrawn(this->state)) {
    this->RollBack();
  }
}

bool CallerSession::IsIdle() const {
  return !this->transaction && this->stream.empty();
}

void CallerSession::Drain(TimePoint answer_by) {
  this->draining = true;
  this->answer_by = answer_by;
  if (this->waiting && this->IsIdle()) {
    this->stream.Cancel();
  }
}

bool CallerSession::CloseUnopened() {
  if (this->opened || this->abandoned || !this->waiting) {
    return false;
  }
  this->abandoned = true;
  this->stream.Cancel();
  return true;
}

void CallerSession::EndTransactions() {
  this->ending_transactions = true;
  if (this->waiting) {
    this->RollBack();
  }
}

void CallerSession::RollBack() {
  if (this->transaction && !this->transaction->finished) {
    this->runner->Discard(&*this->transaction);
  }
}

// -----------------------------------------------------------------------------
// Messages

asio::awaitable<std::optional<std::string>> CallerSession::ReadLine() {
  for (;;) {
    std::optional<std::string> line = this->stream.TakeLine();
    if (line) {
      co_return line;
    }
    if (this->stream.exceeded()) {
      co_await this->RefuseMessage(*this->stream.exceeded());
      co_return std::nullopt;
    }
    const bool holds_connection = this->transaction && !this->transaction->finished &&
                                  this->transaction->lease.connection != nullptr;
    const bool time_limited = !this->opened || holds_connection;
    if (time_limited) {
      this->timer.expires_after(this->opened ? this->cluster->routes().transaction_idle_limit
                                             : kOpenTimeout);
      this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || self == nullptr) {
          return;
        }
        if (self->opened) {
          Log(LogLevel::kInfo, "idle transaction rolled back",
              {{"database", self->database}, {"session", self->state.session}});
          if (self->waiting) {
            self->RollBack();
          }
        } else {
          self->stream.Cancel();
        }
      });
    }
    this->waiting = true;
    const bool received = co_await this->stream.Receive();
    this->waiting = false;
    if (time_limited) {
      this->timer.cancel();
    }
    if (!received && !this->stream.exceeded()) {
      co_return std::nullopt;
    }
  }
}

asio::awaitable<void> CallerSession::RefuseMessage(CloseReason limit) {
  const bool too_large = limit == CloseReason::kTooLarge;
  std::string refusal = this->codec->EncodeRefusal(
      too_large ? StatementError::kTooLarge : StatementError::kOverloaded,
      too_large ? "the message exceeds the size limit"
                : "this daemon buffers too many bytes for its callers");
  co_await this->stream.WriteLast(std::move(refusal));
}

asio::awaitable<bool> CallerSession::Write(std::string text) {
  return this->stream.Write(std::move(text));
}

TransactionState CallerSession::State() const {
  if (!this->transaction) {
    return TransactionState::kNone;
  }
  return this->transaction->finished ? TransactionState::kFailed : TransactionState::kOpen;
}

// -----------------------------------------------------------------------------
// Statements

asio::awaitable<StatementAnswer> CallerSession::Answer(CallerMessage message) {
  if (auto refusal = this->RefuseWithdrawnKey(message)) {
    co_return std::move(*refusal);
  }
  if (message.kind != CallerMessage::Kind::kStatement) {
    co_return Failure(StatementError::kMalformed, "the message is not a statement", this->State());
  }
  if (!this->transaction) {
    if (const auto error = this->CheckRoute(this->database, "statement")) {
      co_return Failure(*error, RouteErrorText(*error, this->database), TransactionState::kNone);
    }
  }
  const DatabaseRoute* route =
      this->transaction ? &*this->transaction_route : this->cluster->routes().Find(this->database);
  // The route is copied, because new routes may replace the route table while the statement runs.
  const DatabaseRoute current = *route;
  StatementAnswer answer;
  switch (message.verb) {
    case StatementVerb::kCommit:
    case StatementVerb::kRollback:
      co_return co_await this->AnswerTransactionEnd(std::move(message), current);
    case StatementVerb::kUnknown:
      co_return Failure(StatementError::kMalformed, "unknown statement", this->State());
    default:
      break;
  }
  if (this->State() == TransactionState::kFailed) {
    co_return Failure(
        this->transaction->reported ? StatementError::kMalformed : StatementError::kAborted,
        "the transaction has failed", TransactionState::kFailed);
  }
  if (message.verb == StatementVerb::kBegin) {
    if (this->transaction) {
      co_return Failure(StatementError::kMalformed, "a transaction is already open",
                        TransactionState::kOpen);
    }
    this->transaction.emplace();
    this->transaction->read_only = message.read_only;
    this->transaction_route = current;
    co_return Success(TransactionState::kOpen);
  }
  if (message.verb == StatementVerb::kRead || message.verb == StatementVerb::kWrite ||
      message.verb == StatementVerb::kExecute) {
    co_return co_await this->AnswerStatement(std::move(message), current);
  }
  co_return this->AnswerSetting(std::move(message));
}

asio::awaitable<StatementAnswer> CallerSession::AnswerStatement(CallerMessage message,
                                                                const DatabaseRoute& route) {
  StatementJob job;
  job.arrived = BootNow();
  job.deadline = std::min(job.arrived + route.statement_timeout, this->answer_by);
  job.id = std::move(message.id);
  job.route = &route;
  job.writes = message.verb == StatementVerb::kWrite;
  job.text = std::move(message.text);
  if (message.verb == StatementVerb::kExecute) {
    const auto found = this->state.prepared.find(message.name);
    if (found == this->state.prepared.end()) {
      co_return Failure(StatementError::kUnknownStatement, message.name, this->State());
    }
    job.prepared = found->second;
    job.writes = !found->second.read_only;
    job.text =
        this->codec->ExecuteText(ConnectionState::PreparedName(found->second), message.argument);
  }
  Admission admission;
  if (this->NeedsToken()) {
    admission = co_await this->limit_service->Admit(this->state.organisation, job.deadline);
    if (admission.IsRefused()) {
      co_return this->RefuseOperation(admission);
    }
  }
  StatementAnswer answer;
  if (this->transaction) {
    answer =
        co_await this->runner->RunInTransaction(std::move(job), &this->state, &*this->transaction);
    this->transaction->reported = this->transaction->finished;
  } else {
    answer = co_await this->runner->Run(std::move(job), &this->state);
  }
  this->ReturnToken(admission, answer);
  answer.state = this->State();
  co_return answer;
}

asio::awaitable<StatementAnswer> CallerSession::AnswerTransactionEnd(CallerMessage message,
                                                                     const DatabaseRoute& route) {
  const bool commit = message.verb == StatementVerb::kCommit;
  if (!this->transaction) {
    co_return Failure(StatementError::kMalformed, "no transaction is open",
                      TransactionState::kNone);
  }
  StatementAnswer answer;
  if (commit && this->transaction->finished) {
    answer = Failure(StatementError::kAborted, "the transaction has failed and was rolled back",
                     TransactionState::kNone);
  } else if (commit) {
    StatementJob job;
    job.arrived = BootNow();
    job.deadline = std::min(job.arrived + route.statement_timeout, this->answer_by);
    job.id = std::move(message.id);
    job.text = std::move(message.text);
    job.route = &route;
    Admission admission;
    if (this->NeedsToken()) {
      admission = co_await this->limit_service->Admit(this->state.organisation, job.deadline);
    }
    if (admission.IsRefused()) {
      answer = this->RefuseOperation(admission);
      answer.state = TransactionState::kNone;
    } else {
      answer = co_await this->runner->Commit(std::move(job), &this->state, &*this->transaction);
      this->ReturnToken(admission, answer);
    }
  } else {
    this->runner->Discard(&*this->transaction);
    answer = Success(TransactionState::kNone);
  }
  this->transaction.reset();
  co_return answer;
}

std::optional<StatementAnswer> CallerSession::ReserveState(const CallerMessage& message) {
  const auto size_of = [](const std::string& name, const std::string& text) {
    return name.size() + text.size() + kStateEntryOverhead;
  };
  size_t before = 0;
  size_t after = 0;
  if (message.verb == StatementVerb::kSetValue) {
    const auto found = this->state.values.find(message.name);
    before = found == this->state.values.end() ? 0 : size_of(message.name, found->second);
    after = size_of(message.name, message.argument);
  } else {
    const auto found = this->state.prepared.find(message.name);
    before = found == this->state.prepared.end() ? 0 : size_of(message.name, found->second.shape);
    after = message.verb == StatementVerb::kPrepare ? size_of(message.name, message.argument) : 0;
  }
  const size_t size = this->state_size - before + after;
  if (size > this->limits->max_state) {
    return Failure(StatementError::kTooLarge,
                   "the values and prepared statements of the session exceed the size limit",
                   this->State());
  }
  if (!this->state_share.Resize(size)) {
    return Failure(StatementError::kOverloaded,
                   "this daemon holds too many values and prepared statements of its sessions",
                   this->State());
  }
  this->state_size = size;
  return std::nullopt;
}

bool CallerSession::NeedsToken() const {
  const bool has_begun = this->transaction && this->transaction->lease.connection != nullptr;
  return this->limit_service != nullptr && !has_begun &&
         this->limit_service->IsLimited(this->state.organisation);
}

StatementAnswer CallerSession::RefuseOperation(const Admission& admission) {
  if (this->transaction) {
    this->transaction->finished = true;
    this->transaction->reported = true;
  }
  return Failure(StatementError::kOverloaded, admission.refusal(), this->State());
}

void CallerSession::ReturnToken(const Admission& admission, const StatementAnswer& answer) {
  // An aborted statement may have run before it was rolled back.
  if (admission.token() && answer.error && HasNotRun(*answer.error) &&
      *answer.error != StatementError::kAborted) {
    this->limit_service->Return(this->state.organisation, admission);
  }
}

StatementAnswer CallerSession::AnswerSetting(CallerMessage message) {
  if (auto refusal = this->ReserveState(message)) {
    return std::move(*refusal);
  }
  if (message.verb == StatementVerb::kPrepare) {
    this->state.prepared[message.name] = {message.read_only, message.argument};
  } else if (message.verb == StatementVerb::kDeallocate) {
    this->state.prepared.erase(message.name);
  } else {
    this->state.values[message.name] = message.argument;
  }
  return Success(this->State());
}

}  // namespace poplarmoor
