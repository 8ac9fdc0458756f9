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
  /// Step of a transaction, or a statement outside a transaction.
  enum class Step { kStatement, kBegin, kTransactionStatement, kCommit, kRollback };

  Step step = Step::kStatement;
  std::string request_id;
  std::string service;
  Rank rank = Rank::kStandard;
  bool is_write = false;
  std::string key;  // A read gets this key; a write puts the request id into it.
  bool own_writes = true;
  int max_staleness_ms = 0;  // Maximum staleness of a read; 0 means no limit.
  bool repeatable = true;
  std::chrono::steady_clock::time_point deadline;
};

/// Interface to the system under load. Runs on one thread.
class LoadTarget {
 public:
  virtual ~LoadTarget() = default;

  /// Makes one call and updates the session.
  /// @param call Call to make.
  /// @param session Session of the caller, which has no other call at this time.
  /// @returns The outcome; a failed connection is also reported as an outcome.
  virtual boost::asio::awaitable<CallOutcome> Call(LoadCall call, LoadSession& session) = 0;
};

}  // namespace poplarmoor
