#pragma once

#include <utility>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "kernel/rank.h"
#include "kernel/time.h"
#include "load/load_options.h"
#include "load/load_report.h"
#include "load/load_session.h"
#include "load/request_record.h"
#include "load/workload.h"

namespace poplarmoor {

class ConfigWatch;
class IdleConnections;
class LoadTarget;

/// Performs one run of the load tool: sends open-loop load with a bounded number of outstanding
/// requests, then compares the answers with the endpoints' logs.
class LoadRunner {
 public:
  explicit LoadRunner(LoadOptions options);
  ~LoadRunner();

  /// Runs the load and the checks. Writes a progress line to stderr every second.
  /// @returns The report.
  LoadReport Run();

 private:
  using Clock = std::chrono::steady_clock;

  boost::asio::awaitable<void> RunLoadAndChecks();
  boost::asio::awaitable<void> GenerateLoad(Rank rank);
  boost::asio::awaitable<void> SendRequest(size_t record, size_t session);
  boost::asio::awaitable<void> SendTransaction(RequestRecord& record, LoadSession& session);
  boost::asio::awaitable<void> PrintProgress();
  boost::asio::awaitable<void> Check();
  Duration Now() const;

  LoadOptions options;
  boost::asio::io_context context{1};
  std::unique_ptr<LoadTarget> target;
  std::unique_ptr<ConfigWatch> config_watch;
  std::unique_ptr<IdleConnections> idle_connections;
  Workload workload;
  std::vector<LoadSession> sessions;
  std::vector<size_t> free_sessions;
  // A deque, because coroutines hold references to its elements while it grows.
  std::deque<RequestRecord> records;
  std::array<uint64_t, kRankCount> not_sent{};
  std::array<uint64_t, 3> verdicts{};  // Number of finished requests by verdict.
  Clock::time_point start;
  LoadReport report;
};

}  // namespace poplarmoor
