#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

#include "kernel/rank.h"
#include "load/call_outcome.h"

namespace poplarmoor {

struct LoadSession;

/// One call to the system under load.
struct LoadCall {
  /// Steps of a transaction, or a statement outside one.
  enum class Step { kStatement, kBegin, kTransactionStatement, kCommit, kRollback };

  Step step = Step::kStatement;
  std::string request_id;
  std::string service;
  Rank rank = Rank::kStandard;
  bool is_write = false;
  std::string key;  // The statement is get KEY, or put KEY request_id.
  bool own_writes = true;
  int max_staleness_ms = 0;  // 0: unbounded.
  bool repeatable = true;
  std::chrono::steady_clock::time_point deadline;
};

/// What the load runs against. Runs on one thread.
class LoadTarget {
 public:
  virtual ~LoadTarget() = default;

  /// Makes one call and updates the session.
  /// @param call Call.
  /// @param session Session; it has no other call at this time.
  /// @returns The outcome; failures of the connection are outcomes too.
  virtual boost::asio::awaitable<CallOutcome> Call(LoadCall call, LoadSession& session) = 0;
};

}  // namespace poplarmoor
