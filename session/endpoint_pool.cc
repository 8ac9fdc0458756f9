#include "session/endpoint_pool.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "kernel/admission/startup_limit.h"
#include "net/random_bits.h"
#include "session/boot_clock.h"
#include "session/direct_channel.h"
#include "session/relay_router.h"
#include "session/statement_answer.h"
#include "session/wait_list.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Interval at which a status call that has no connection looks for an idle one.
constexpr Duration kIdleCheckInterval = 3ms;
// For this time after an endpoint has refused a connection at its connection limit, this daemon
// does not raise its number of connections: other daemons need the time to close idle connections.
constexpr Duration kLimitHoldTime = 3s;
// Because all daemons of a fleet may start together, each daemon delays the first connection that
// it opens in advance by a random time up to this one.
constexpr Duration kWarmUpSpread = 2s;
constexpr Duration kWarmUpInterval = 500ms;  // Time between two connections opened in advance.
// After an endpoint has refused a connection at its connection limit, this daemon pauses before it
// opens the next one, because each refusal costs the endpoint work. Each further refusal doubles
// the pause up to the maximum, which is short compared to the 3 s after which the endpoint drops
// the connections of a VM that has disappeared.
constexpr Duration kFirstOpenPause = 25ms;
constexpr Duration kMaxOpenPause = 200ms;
// The limit of concurrent statements is reduced after an endpoint has refused a statement because
// its queue is full. The limit stays reduced for this time and then rises by one at this interval,
// which is about twice the time that a full endpoint queue (32 statements at 4 slots) takes to
// drain.
constexpr Duration kLimitRaiseInterval = 300ms;
// After a replica has lacked the log position that a read demanded, reads that demand an equally
// recent position avoid the replica for this time. The time doubles up to the maximum while the
// replica stays behind.
constexpr Duration kFirstBehindPause = 50ms;
constexpr Duration kMaxBehindPause = 400ms;
// Largest number of connections that this daemon opens to the endpoint at the same time if the
// deployment has organisations. Each opening takes 12 ms of one of the endpoint's four slots; with
// two gateways, statements keep the slots while connections are opened after a loss of power.
constexpr uint32_t kMaxOpenings = 2;

}  // namespace

EndpointPool::EndpointPool(asio::any_io_executor executor,
                           const SessionCodec* codec,
                           EndpointRecord record,
                           RelayRouter* relays)
    : executor(std::move(executor)),
      codec(codec),
      current(std::move(record)),
      random(RandomBits()),
      relays(relays),
      openings(kMaxOpenings),
      created(BootNow()),
      next_warm_up(this->created +
                   Duration(static_cast<int64_t>(RandomBits() %
                                                 static_cast<uint64_t>(kWarmUpSpread.count())))) {}

EndpointPool::~EndpointPool() = default;

bool EndpointPool::UsesRelay() const {
  return this->relayed || (this->down && this->relays->HasPeers());
}

void EndpointPool::SetRelayed(bool relayed) {
  if (relayed != this->relayed) {
    this->idle.Clear();
  }
  this->relayed = relayed;
}

asio::awaitable<EndpointReport> EndpointPool::SendOrder(EndpointOrder order,
                                                        uint64_t term,
                                                        Duration limit,
                                                        bool fresh) {
  const auto self = this->shared_from_this();
  if (!fresh && this->UsesRelay()) {
    co_return co_await this->relays->SendOrder(this->current, order, term, limit);
  }
  const SessionState own_work;
  std::unique_ptr<EndpointChannel> channel = fresh ? nullptr : this->TakeIdle(own_work);
  if (channel == nullptr) {
    if (!fresh && BootNow() < this->next_open) {
      throw std::runtime_error(
          "the endpoint recently refused a connection at its connection limit");
    }
    channel = co_await this->OpenForOrder(limit);
  }
  co_return co_await this->ExchangeOrder(std::move(channel), order, term, limit);
}

asio::awaitable<EndpointReport> EndpointPool::QueryStatus(Duration limit) {
  const auto self = this->shared_from_this();
  if (this->UsesRelay()) {
    co_return co_await this->relays->SendOrder(this->current, EndpointOrder::kStatus, 0, limit);
  }
  const TimePoint deadline = BootNow() + limit;
  std::unique_ptr<EndpointChannel> channel = this->TakeFirstOpened();
  while (channel == nullptr) {
    if (this->idle.size() + this->admission.InUse() < this->share && BootNow() >= this->next_open) {
      channel = co_await this->OpenForOrder(limit);
      break;
    }
    if (BootNow() >= deadline) {
      throw std::runtime_error("no connection to the endpoint became idle in time");
    }
    co_await Pause(kIdleCheckInterval);
    channel = this->TakeFirstOpened();
  }
  co_return co_await this->ExchangeOrder(std::move(channel), EndpointOrder::kStatus, 0, limit);
}

asio::awaitable<std::unique_ptr<EndpointChannel>> EndpointPool::OpenForOrder(Duration limit) {
  auto opening =
      std::make_unique<EndpointSession>(this->executor, this->codec, this->current.address);
  StatementAnswer opened;
  try {
    opened = co_await opening->Open(this->current.service, std::string(), this->current.id, limit);
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
  co_return std::make_unique<DirectChannel>(std::move(opening), this->codec);
}

asio::awaitable<EndpointReport> EndpointPool::ExchangeOrder(
    std::unique_ptr<EndpointChannel> channel,
    EndpointOrder order,
    uint64_t term,
    Duration limit) {
  // All idle channels of a pool are DirectChannel objects.
  EndpointSession& connection = static_cast<DirectChannel&>(*channel).connection();
  const TimePoint connected_since = connection.opened_at();
  std::vector<std::string> messages;
  messages.push_back(this->codec->EncodeOrder(order, term));
  const auto answers = co_await connection.Exchange(std::move(messages), limit);
  const StatementAnswer& answer = answers.front();
  const bool has_room = this->idle.size() + this->admission.InUse() < this->share;
  if (channel->is_open() && has_room && !this->relayed) {
    this->PutIdle(std::move(channel));
  }
  if (answer.error || answer.rows.empty()) {
    throw std::runtime_error(
        "the endpoint refused the order: " +
        (answer.error ? std::string(kStatementErrorNames.NameOf(*answer.error)) : "no row"));
  }
  this->down = false;
  this->last_answer = BootNow();
  EndpointReport report = this->codec->DecodeReport(answer.rows.front());
  report.connected_since = connected_since;
  co_return report;
}

void EndpointPool::Update(const EndpointRecord& record) {
  const bool restarted = record.incarnation_ms != this->current.incarnation_ms ||
                         record.address != this->current.address;
  this->current = record;
  if (restarted) {
    this->idle.Clear();
    this->down = false;
  }
}

void EndpointPool::SetLimits(uint32_t single_statement_limit, uint32_t share, uint32_t borrowed) {
  this->single_limit = single_statement_limit;
  this->share = share;
  this->borrowed = borrowed;
  this->ApplyLimits();
}

void EndpointPool::SetOrganisations(bool organisations) {
  this->by_organisation = organisations;
  this->admission.SetFair(organisations);
}

void EndpointPool::NoteLimitReached() {
  const uint32_t in_use = this->admission.InUse();
  this->observed_limit = static_cast<uint32_t>(this->idle.size()) + (in_use > 0 ? in_use - 1 : 0);
  this->observed_limit_until = BootNow() + kLimitHoldTime;
  this->open_pause = std::clamp(this->open_pause * 2, kFirstOpenPause, kMaxOpenPause);
  this->next_open = BootNow() + this->open_pause;
  this->ApplyLimits();
}

void EndpointPool::ApplyLimits() {
  const TimePoint now = BootNow();
  uint32_t total = StartupConnectionLimit(this->share, this->borrowed, now - this->created);
  if (now < this->observed_limit_until) {
    total = std::min(total, std::clamp<uint32_t>(this->observed_limit, 1, this->share));
  }
  uint32_t single_statement_limit = std::min(this->single_limit, total);
  single_statement_limit = this->reduced_limit == 0
                               ? single_statement_limit
                               : std::min(single_statement_limit, this->reduced_limit);
  this->admission.SetLimits(single_statement_limit, total);
  this->WakeGranted();
}

void EndpointPool::NoteOverload() {
  const TimePoint now = BootNow();
  this->shedder.RecordRefusal(now);
  const bool recently_reduced = this->reduced_limit != 0 && now < this->next_limit_raise;
  if (!recently_reduced) {
    this->reduced_limit = std::max<uint32_t>(this->admission.SingleLimit() / 2, 1);
    this->ApplyLimits();
  }
  this->next_limit_raise = now + kLimitRaiseInterval;
}

void EndpointPool::CloseIdle(Duration age) {
  const TimePoint now = BootNow();
  if (this->reduced_limit != 0 && now >= this->next_limit_raise) {
    this->reduced_limit = this->reduced_limit < this->single_limit ? this->reduced_limit + 1 : 0;
    this->next_limit_raise = now + kLimitRaiseInterval;
    this->ApplyLimits();
  }
  if (this->observed_limit_until != TimePoint{} && now >= this->observed_limit_until) {
    this->observed_limit_until = {};
    this->ApplyLimits();
  }
  if (this->startup_limited) {
    this->startup_limited = now - this->created < kStartupLimitTime;
    this->ApplyLimits();
  }
  if (this->by_organisation) {
    this->CloseExcess();
  } else {
    this->idle.CloseOlder(this->IdleTarget(), now - age);
  }
}

uint32_t EndpointPool::IdleTarget() const {
  // Used and idle connections together are to take at most half of this daemon's connection share,
  // but one idle connection is always kept. The other half stays free for daemons that restart
  // after a power loss while the endpoint still has the connections of their previous processes.
  const uint32_t half = (this->share + 1) / 2;
  const uint32_t in_use = this->admission.InUse();
  return half > in_use ? half - in_use : 1;
}

void EndpointPool::WarmUp() {
  const uint32_t target = this->startup_limited ? 1 : this->IdleTarget();
  const TimePoint now = BootNow();
  const bool enough = this->idle.size() + this->admission.InUse() >= target;
  if (this->by_organisation || this->warming || this->relayed || this->down ||
      this->current.leaving || enough || now < this->next_warm_up || now < this->next_open) {
    return;
  }
  const auto work = [](std::shared_ptr<EndpointPool> pool) -> asio::awaitable<void> {
    try {
      co_await pool->SendOrder(EndpointOrder::kStatus, 0, kOpenLimit, true);
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kDebug, "could not open a connection in advance",
          {{"endpoint", pool->record().id}, {"cause", error.what()}});
    }
    pool->next_warm_up = BootNow() + kWarmUpInterval;
    pool->warming = false;
  };
  this->warming = true;
  asio::co_spawn(this->executor, work(this->shared_from_this()), asio::detached);
}

void EndpointPool::CloseAll() {
  this->idle.Clear();
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
