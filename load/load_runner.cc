#include "load/load_runner.h"

#include <boost/asio.hpp>
#include <iostream>

#include "load/checker.h"
#include "load/config_watch.h"
#include "load/daemon_target.h"
#include "load/direct_target.h"
#include "load/idle_connections.h"
#include "load/log_reader.h"
#include "load/service_history.h"

namespace poplarmoor {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Maximum staleness of background reads, in milliseconds. They imitate reads of data such as a
// price list, which may be minutes old, so one minute of staleness is acceptable.
constexpr int kBackgroundStalenessMs = 60000;

// Returns the prefix of all request ids of a run. The prefix must differ between runs on the same
// endpoints.
std::string MakeRunId(uint64_t seed) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(seed) + "-" +
         std::to_string(std::chrono::duration_cast<milliseconds>(now).count());
}

}  // namespace

LoadRunner::LoadRunner(LoadOptions options)
    : options(std::move(options)), workload(this->options, MakeRunId(this->options.seed)) {
  if (this->options.direct) {
    this->target = std::make_unique<DirectTarget>(this->context, this->options.endpoints,
                                                  this->options.direct_connections);
  } else {
    this->target = std::make_unique<DaemonTarget>(this->context, this->options.daemons,
                                                  static_cast<size_t>(this->options.sessions),
                                                  this->options.seed);
  }
  this->sessions.resize(static_cast<size_t>(this->options.sessions));
  for (size_t i = 0; i < this->sessions.size(); ++i) {
    this->sessions[i].number = static_cast<int>(i);
    this->sessions[i].site = this->options.sites[i % this->options.sites.size()];
    this->free_sessions.push_back(i);
  }
}

LoadRunner::~LoadRunner() = default;

Duration LoadRunner::Now() const {
  return std::chrono::duration_cast<Duration>(Clock::now() - this->start);
}

LoadReport LoadRunner::Run() {
  this->start = Clock::now();
  std::exception_ptr failure;
  asio::co_spawn(this->context, this->RunLoadAndChecks(), [&](std::exception_ptr error) {
    failure = error;
    this->context.stop();
  });
  this->context.run();
  if (failure != nullptr) {
    std::rethrow_exception(failure);
  }
  return std::move(this->report);
}

asio::awaitable<void> LoadRunner::RunLoadAndChecks() {
  if (this->options.watch_config) {
    this->config_watch = std::make_unique<ConfigWatch>(this->context, this->options.operators,
                                                       this->options.operator_token);
    this->config_watch->Start();
  }
  this->idle_connections = std::make_unique<IdleConnections>(this->context);
  co_await this->idle_connections->Open(this->options.daemons, this->options.idle_connections);
  this->start = Clock::now();
  asio::co_spawn(this->context, this->PrintProgress(), asio::detached);
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    asio::co_spawn(this->context, this->GenerateLoad(static_cast<Rank>(rank)), asio::detached);
  }
  asio::steady_timer timer(this->context, std::chrono::seconds(this->options.duration_s));
  co_await timer.async_wait(asio::use_awaitable);
  const Duration end = this->Now();
  while (this->free_sessions.size() < this->sessions.size()) {
    timer.expires_after(milliseconds(20));
    co_await timer.async_wait(asio::use_awaitable);
  }
  this->report.idle_connections = this->idle_connections->opened();
  this->report.idle_connections_lost = this->idle_connections->CountLost();
  std::array<Duration, kRankCount> targets;
  for (size_t rank = 0; rank < kRankCount; ++rank) {
    targets[rank] = milliseconds(this->options.ranks[rank].target_ms);
    this->report.ranks[rank].not_sent = this->not_sent[rank];
  }
  this->report.AddRecords({this->records.begin(), this->records.end()}, targets, end);
  timer.expires_after(milliseconds(this->options.settle_ms));
  co_await timer.async_wait(asio::use_awaitable);
  co_await this->Check();
  if (this->config_watch != nullptr) {
    this->report.config_in_force = this->config_watch->times();
  }
}

asio::awaitable<void> LoadRunner::GenerateLoad(Rank rank) {
  const auto index = static_cast<size_t>(rank);
  const double rate = this->options.ranks[index].rate;
  if (rate <= 0) {
    co_return;
  }
  const auto end = this->start + std::chrono::seconds(this->options.duration_s);
  auto due = this->start;
  asio::steady_timer timer(this->context);
  for (;;) {
    due += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(this->workload.DrawInterval(rate)));
    if (due >= end) {
      co_return;
    }
    timer.expires_at(due);
    co_await timer.async_wait(asio::use_awaitable);
    if (this->free_sessions.empty()) {
      ++this->not_sent[index];
      continue;
    }
    const size_t pick = this->workload.PickIndex(this->free_sessions.size());
    std::swap(this->free_sessions[pick], this->free_sessions.back());
    const size_t session = this->free_sessions.back();
    this->free_sessions.pop_back();
    this->records.push_back(this->workload.MakeRequest(rank, static_cast<int>(session)));
    asio::co_spawn(this->context, this->SendRequest(this->records.size() - 1, session),
                   asio::detached);
  }
}

asio::awaitable<void> LoadRunner::SendRequest(size_t record_index, size_t session_index) {
  RequestRecord& record = this->records[record_index];
  LoadSession& session = this->sessions[session_index];
  record.sent = this->Now();
  if (record.kind == RequestKind::kTransaction) {
    co_await this->SendTransaction(record, session);
  } else {
    LoadCall call;
    call.request_id = record.request_id;
    call.service = record.service;
    call.rank = record.rank;
    call.is_write = record.kind == RequestKind::kWrite;
    call.key = record.keys.front();
    call.own_writes = record.own_writes;
    call.max_staleness_ms = record.own_writes ? 0 : kBackgroundStalenessMs;
    call.repeatable = record.repeatable;
    call.deadline = Clock::now() + milliseconds(this->options.deadline_ms);
    const CallOutcome outcome = co_await this->target->Call(call, session);
    record.verdict = outcome.verdict;
    record.reason = outcome.reason;
    record.echoed_id = outcome.echoed_id;
    record.by_replica = outcome.by_replica;
    record.cut = outcome.cut;
    if (outcome.verdict == Verdict::kRan) {
      record.values = {outcome.value};
    }
  }
  record.answered = this->Now();
  ++this->verdicts[static_cast<size_t>(record.verdict)];
  this->free_sessions.push_back(session_index);
}

asio::awaitable<void> LoadRunner::SendTransaction(RequestRecord& record, LoadSession& session) {
  using Step = LoadCall::Step;
  LoadCall call;
  call.service = record.service;
  call.rank = record.rank;
  call.repeatable = record.repeatable;
  call.request_id = record.request_id;
  call.deadline = Clock::now() + milliseconds(this->options.deadline_ms);
  session.transaction.clear();

  struct Row {
    Step step;
    std::string key;
    bool is_write;
    std::vector<std::string>* values;  // List to which the result is appended; null: result unused.
  };
  std::vector<Row> rows{{Step::kBegin, "", false, nullptr}};
  for (const std::string& key : record.keys) {
    rows.push_back({Step::kTransactionStatement, key, false, &record.values});
  }
  for (const std::string& key : record.keys) {
    rows.push_back({Step::kTransactionStatement, key, true, nullptr});
  }
  rows.push_back({Step::kTransactionStatement, record.keys.front(), false, &record.rereads});
  rows.push_back({Step::kCommit, "", false, nullptr});
  for (const Row& row : rows) {
    call.step = row.step;
    call.key = row.key;
    call.is_write = row.is_write;
    const CallOutcome outcome = co_await this->target->Call(call, session);
    record.verdict = outcome.verdict;
    record.reason = outcome.reason;
    record.cut = outcome.cut;
    if (outcome.verdict != Verdict::kRan) {
      if (row.step != Step::kCommit) {
        record.verdict = Verdict::kNotRun;  // A transaction without a commit has no effect.
      }
      break;
    }
    if (row.values != nullptr) {
      row.values->push_back(outcome.value);
    }
    if (row.step == Step::kCommit) {
      record.echoed_id = outcome.echoed_id;
      co_return;
    }
  }
  if (call.step != Step::kBegin && call.step != Step::kCommit) {
    call.step = Step::kRollback;
    co_await this->target->Call(call, session);
  }
}

asio::awaitable<void> LoadRunner::PrintProgress() {
  asio::steady_timer timer(this->context);
  for (int second = 1;; ++second) {
    timer.expires_at(this->start + std::chrono::seconds(second));
    co_await timer.async_wait(asio::use_awaitable);
    std::cerr << "t=" << second << "s offered=" << this->records.size()
              << " ran=" << this->verdicts[0] << " not_run=" << this->verdicts[1]
              << " may_have_run=" << this->verdicts[2]
              << " outstanding=" << this->sessions.size() - this->free_sessions.size() << std::endl;
  }
}

asio::awaitable<void> LoadRunner::Check() {
  std::map<std::string, ServiceHistory> histories;
  asio::steady_timer timer(this->context);
  for (const std::string& service : this->options.services) {
    std::string primary;
    for (int attempt = 0;
         attempt < this->options.log_attempts && this->options.endpoints.contains(service);
         ++attempt) {
      ServiceHistory history;
      primary = co_await ReadServiceLogs(this->options.endpoints[service], history);
      if (!primary.empty()) {
        histories[service] = std::move(history);
        this->report.log_primaries[service] = primary;
        break;
      }
      timer.expires_after(std::chrono::seconds(1));
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (primary.empty()) {
      this->report.unchecked_services.push_back(service);
    }
  }
  const std::vector<RequestRecord> all(this->records.begin(), this->records.end());
  this->report.checks = Checker(all, histories).Run();
}

}  // namespace poplarmoor
