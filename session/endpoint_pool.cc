#include "session/endpoint_pool.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/random_bits.h"
#include "session/boot_clock.h"
#include "session/direct_channel.h"
#include "session/relay_router.h"
#include "session/statement_answer.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// A connection opens in two round trips and the endpoint's login time; a lost packet adds a second.
constexpr Duration kOpenLimit = 600ms;
// After a refusal at the endpoint's limit, other daemons need time to close idle connections.
constexpr Duration kGrowthPause = 3s;
// An endpoint drops the connections of a vanished VM after 3 s. Until then a restarted daemon
// leaves room for those that its predecessor and the other daemons had before a common loss of
// power.
constexpr Duration kInheritedConnectionsAge = 3500ms;
// All daemons of a fleet start together; their first connections are spread over this time.
constexpr Duration kWarmUpSpread = 2s;
constexpr Duration kWarmUpInterval = 500ms;  // Between two connections that are opened ahead.
// Connections that an endpoint refuses cost it work; the pause doubles up to the maximum, which is
// short against the 3 s after which it drops dead ones.
constexpr Duration kFirstOpenPause = 25ms;
constexpr Duration kMaxOpenPause = 200ms;
// After a refusal for a full queue, about twice the time that such a queue (32 statements at 4
// slots) takes to drain.
constexpr Duration kOverloadMemory = 300ms;
// A replica that lacked a position is asked again after this time, doubled up to the maximum.
constexpr Duration kFirstBehindPause = 50ms;
constexpr Duration kMaxBehindPause = 400ms;

}  // namespace

struct EndpointPool::Waiter {
  explicit Waiter(asio::any_io_executor executor) : timer(std::move(executor)) {}

  asio::steady_timer timer;
  bool granted = false;
};

EndpointPool::EndpointPool(asio::any_io_executor executor,
                           const SessionCodec* codec,
                           EndpointRecord record,
                           RelayRouter* relays)
    : executor(std::move(executor)),
      codec(codec),
      current(std::move(record)),
      random(RandomBits()),
      relays(relays),
      created(BootNow()),
      warm_from(this->created + Duration(static_cast<int64_t>(
                                    RandomBits() % static_cast<uint64_t>(kWarmUpSpread.count())))) {
}

EndpointPool::~EndpointPool() = default;

asio::awaitable<EndpointLease> EndpointPool::Acquire(int rank,
                                                     bool transaction,
                                                     Duration patience,
                                                     const SessionState& session) {
  if (!this->UsesRelay()) {
    co_return co_await this->AcquireDirect(rank, transaction, patience, session);
  }
  // The gateways queue and refuse; this daemon only counts what is in progress.
  EndpointLease lease;
  lease.transaction = transaction;
  lease.relayed = true;
  lease.since = BootNow();
  ++this->relayed_in_use;
  lease.connection = this->relays->OpenChannel(this->current, rank, transaction);
  co_return lease;
}

bool EndpointPool::UsesRelay() const {
  return this->relayed || (this->down && this->relays->HasPeers());
}

void EndpointPool::SetRelayed(bool relayed) {
  if (relayed != this->relayed) {
    this->idle.clear();
  }
  this->relayed = relayed;
}

asio::awaitable<EndpointLease> EndpointPool::AcquireDirect(int rank,
                                                           bool transaction,
                                                           Duration patience,
                                                           const SessionState& session) {
  const auto self = this->shared_from_this();
  const TimePoint entered = BootNow();
  if (!this->shedder.Admits(rank, entered, &this->random)) {
    EndpointLease refused;
    refused.failure = AcquireFailure::kOverloaded;
    co_return refused;
  }
  const StatementQueue::Ticket ticket = this->next_ticket++;
  const auto decision = this->admission.Enter(ticket, rank, transaction, patience);
  EndpointLease lease;
  lease.transaction = transaction;
  if (decision == StatementQueue::Decision::kRefuse) {
    lease.failure = AcquireFailure::kOverloaded;
    co_return lease;
  }
  if (decision == StatementQueue::Decision::kWait) {
    Waiter waiter(this->executor);
    waiter.timer.expires_after(patience);
    this->waiters[ticket] = &waiter;
    boost::system::error_code error;
    co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    this->waiters.erase(ticket);
    if (!waiter.granted) {
      this->admission.Withdraw(ticket);
      lease.failure = AcquireFailure::kOverloaded;
      co_return lease;
    }
  }
  lease.since = BootNow();
  lease.connection = this->TakeIdle(session.session);
  if (lease.connection != nullptr) {
    co_return lease;
  }
  if (lease.since < this->next_open) {
    lease.failure = AcquireFailure::kTooMany;
    this->Leave(transaction, lease.since);
    co_return lease;
  }
  const Duration left = patience - (lease.since - entered);
  co_return co_await this->OpenFor(std::move(lease), std::clamp(left, Duration(1ms), kOpenLimit));
}

asio::awaitable<EndpointLease> EndpointPool::OpenFor(EndpointLease lease, Duration limit) {
  auto connection =
      std::make_unique<EndpointSession>(this->executor, this->codec, this->current.address);
  try {
    const StatementAnswer answer =
        co_await connection->Open(this->current.service, this->current.id, limit);
    if (!answer.error) {
      this->open_backoff = {};
      this->down = false;
      this->last_answer = BootNow();
      ++this->opened;
      lease.connection = std::make_unique<DirectChannel>(std::move(connection), this->codec);
      co_return lease;
    }
    if (*answer.error == StatementError::kTooManyConnections) {
      lease.failure = AcquireFailure::kTooMany;
      this->NoteLimitReached();
    } else if (*answer.error == StatementError::kWrongEndpoint) {
      lease.failure = AcquireFailure::kWrongEndpoint;
    } else {
      lease.failure = AcquireFailure::kOverloaded;
    }
  } catch (const EndpointSessionError& error) {
    // The caller logs the failure with the statement's id. An endpoint also closes connections
    // above its limit without an answer.
    if (error.kind == EndpointSessionError::Kind::kClosed) {
      lease.failure = AcquireFailure::kTooMany;
      this->NoteLimitReached();
    } else {
      lease.failure = AcquireFailure::kUnreachable;
    }
    this->suspected = true;
  }
  this->Leave(lease.transaction, lease.since);
  co_return lease;
}

void EndpointPool::Release(EndpointLease lease) {
  if (lease.relayed) {
    --this->relayed_in_use;
    return;
  }
  if (lease.connection != nullptr && lease.connection->is_open() && !this->relayed) {
    this->idle.push_back({std::move(lease.connection), BootNow()});
  }
  this->Leave(lease.transaction, lease.since);
}

void EndpointPool::Leave(bool transaction, TimePoint since) {
  const TimePoint now = BootNow();
  this->admission.Leave(transaction, now - since);
  if (!transaction) {
    this->shedder.NoteHold(this->admission.ServiceTime(), now);
  }
  this->WakeNext();
}

void EndpointPool::WakeNext() {
  while (const auto ticket = this->admission.Next()) {
    Waiter* waiter = this->waiters.at(*ticket);
    waiter->granted = true;
    waiter->timer.cancel();
  }
}

std::unique_ptr<EndpointChannel> EndpointPool::TakeIdle(uint64_t session) {
  while (!this->idle.empty()) {
    auto place = std::find_if(
        this->idle.begin(), this->idle.end(),
        [session](const IdleConnection& entry) { return entry.connection->used_by == session; });
    if (place == this->idle.end()) {
      place = this->idle.end() - 1;
    }
    auto connection = std::move(place->connection);
    this->idle.erase(place);
    if (connection->IsReusable()) {
      return connection;
    }
  }
  return nullptr;
}

asio::awaitable<EndpointReport> EndpointPool::Order(EndpointOrder order,
                                                    uint64_t term,
                                                    Duration limit,
                                                    bool fresh) {
  const auto self = this->shared_from_this();
  if (!fresh && this->UsesRelay()) {
    co_return co_await this->relays->Order(this->current, order, term, limit);
  }
  std::unique_ptr<EndpointChannel> channel = fresh ? nullptr : this->TakeIdle(0);
  if (channel == nullptr) {
    if (!fresh && BootNow() < this->next_open) {
      throw std::runtime_error("the endpoint's connection limit was reached a moment ago");
    }
    auto opening =
        std::make_unique<EndpointSession>(this->executor, this->codec, this->current.address);
    StatementAnswer opened;
    try {
      opened = co_await opening->Open(this->current.service, this->current.id, limit);
    } catch (const EndpointSessionError& error) {
      if (error.kind == EndpointSessionError::Kind::kClosed) {
        this->NoteLimitReached();
      }
      throw;
    }
    ++this->opened;
    if (opened.error) {
      throw std::runtime_error("the endpoint refused the connection: " +
                               std::string(kStatementErrorNames.NameOf(*opened.error)));
    }
    channel = std::make_unique<DirectChannel>(std::move(opening), this->codec);
  }
  // Idle channels of this pool are direct ones.
  EndpointSession& connection = static_cast<DirectChannel&>(*channel).connection();
  std::vector<std::string> messages;
  messages.push_back(this->codec->EncodeOrder(order, term));
  const auto answers = co_await connection.Exchange(std::move(messages), limit);
  const StatementAnswer& answer = answers.front();
  const bool has_room = this->idle.size() + this->admission.InUse() < this->share;
  if (channel->is_open() && has_room && !this->relayed) {
    this->idle.push_back({std::move(channel), BootNow()});
  }
  if (answer.error || answer.rows.empty()) {
    throw std::runtime_error(
        "the endpoint refused the order: " +
        (answer.error ? std::string(kStatementErrorNames.NameOf(*answer.error)) : "no row"));
  }
  this->down = false;
  this->last_answer = BootNow();
  co_return this->codec->DecodeReport(answer.rows.front());
}

void EndpointPool::Update(const EndpointRecord& record) {
  const bool reborn = record.incarnation_ms != this->current.incarnation_ms ||
                      record.address != this->current.address;
  this->current = record;
  if (reborn) {
    this->idle.clear();
    this->down = false;
  }
}

void EndpointPool::SetLimits(uint32_t singles, uint32_t share, uint32_t borrowed) {
  this->single_limit = singles;
  this->share = share;
  this->borrowed = borrowed;
  this->ApplyLimits();
}

void EndpointPool::NoteLimitReached() {
  const uint32_t in_use = this->admission.InUse();
  this->reached_limit = static_cast<uint32_t>(this->idle.size()) + (in_use > 0 ? in_use - 1 : 0);
  this->limited_until = BootNow() + kGrowthPause;
  this->open_backoff = std::clamp(this->open_backoff * 2, kFirstOpenPause, kMaxOpenPause);
  this->next_open = BootNow() + this->open_backoff;
  this->ApplyLimits();
}

void EndpointPool::ApplyLimits() {
  uint32_t total = this->share + this->borrowed;
  if (BootNow() - this->created < kInheritedConnectionsAge) {
    total = 1;
  } else if (BootNow() < this->limited_until) {
    total = std::clamp<uint32_t>(this->reached_limit, 1, this->share);
  }
  uint32_t singles = std::min(this->single_limit, total);
  singles = this->bearable == 0 ? singles : std::min(singles, this->bearable);
  this->admission.SetLimits(singles, total);
  this->WakeNext();
}

void EndpointPool::NoteOverload() {
  const TimePoint now = BootNow();
  this->shedder.NoteRefusal(now);
  const bool cut_lately = this->bearable != 0 && now < this->bearable_until;
  if (!cut_lately) {
    this->bearable = std::max<uint32_t>(this->admission.SingleLimit() / 2, 1);
    this->ApplyLimits();
  }
  this->bearable_until = now + kOverloadMemory;
}

void EndpointPool::CloseIdle(Duration age) {
  const TimePoint now = BootNow();
  if (this->bearable != 0 && now >= this->bearable_until) {
    this->bearable = this->bearable < this->single_limit ? this->bearable + 1 : 0;
    this->bearable_until = now + kOverloadMemory;
    this->ApplyLimits();
  }
  if (this->limited_until != TimePoint{} && now >= this->limited_until) {
    this->limited_until = {};
    this->ApplyLimits();
  }
  if (this->ramping && now - this->created >= kInheritedConnectionsAge) {
    this->ramping = false;
    this->ApplyLimits();
  }
  const size_t kept = this->KeptIdle();
  // The front entries have been idle for the longest time.
  while (this->idle.size() > kept && now - this->idle.front().since > age) {
    this->idle.erase(this->idle.begin());
  }
}

uint32_t EndpointPool::KeptIdle() const {
  // Connections in use and idle ones together leave half of the share free, for daemons that
  // restart after a loss of power while the endpoint still holds the connections of their
  // predecessors.
  const uint32_t half = (this->share + 1) / 2;
  const uint32_t in_use = this->admission.InUse();
  return half > in_use ? half - in_use : 1;
}

void EndpointPool::WarmUp() {
  const uint32_t target = this->ramping ? 1 : this->KeptIdle();
  const TimePoint now = BootNow();
  const bool enough = this->idle.size() + this->admission.InUse() >= target;
  if (this->warming || this->relayed || this->down || this->current.leaving || enough ||
      now < this->warm_from || now < this->next_open) {
    return;
  }
  const auto work = [](std::shared_ptr<EndpointPool> pool) -> asio::awaitable<void> {
    try {
      co_await pool->Order(EndpointOrder::kStatus, 0, kOpenLimit, true);
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kDebug, "connection not opened ahead",
          {{"endpoint", pool->record().id}, {"cause", error.what()}});
    }
    pool->warm_from = BootNow() + kWarmUpInterval;
    pool->warming = false;
  };
  this->warming = true;
  asio::co_spawn(this->executor, work(this->shared_from_this()), asio::detached);
}

void EndpointPool::Abandon() {
  this->idle.clear();
  for (auto& [connection, since] : this->in_progress) {
    connection->Close();
  }
}

void EndpointPool::OnSent(EndpointChannel* connection) {
  this->in_progress[connection] = BootNow();
}

void EndpointPool::OnAnswered(EndpointChannel* connection) {
  this->in_progress.erase(connection);
  if (connection->is_open()) {
    this->last_answer = BootNow();
  }
}

void EndpointPool::NoteBehind(Duration age) {
  const TimePoint now = BootNow();
  if (now >= this->behind_until) {
    this->behind_age = {};
  }
  this->behind_backoff = this->behind_backoff == Duration{}
                             ? kFirstBehindPause
                             : std::min(this->behind_backoff * 2, kMaxBehindPause);
  this->behind_age = std::max(this->behind_age, age);
  this->behind_until = now + this->behind_backoff;
}

void EndpointPool::NoteCaughtUp(Duration age) {
  if (age <= this->behind_age) {
    this->behind_backoff = {};
    this->behind_until = {};
  }
}

bool EndpointPool::IsFreshEnough(Duration age) const {
  return age > this->behind_age || BootNow() >= this->behind_until;
}

Duration EndpointPool::Silence() const {
  Duration longest{};
  const TimePoint now = BootNow();
  for (const auto& [connection, since] : this->in_progress) {
    longest = std::max(longest, now - std::max(since, this->last_answer));
  }
  return longest;
}

}  // namespace poplarmoor
