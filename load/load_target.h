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
  /// What the call asks for: a statement outside a transaction, or one step of a transaction.
  enum class Step { kStatement, kBegin, kTransactionStatement, kCommit, kRollback };

  Step step = Step::kStatement;
  std::string request_id;
  std::string service;
  Rank rank = Rank::kStandard;
  bool is_write = false;
  std::string key;  // Key that is read, or to which the request id is written.
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
  /// @param session Session that makes the call; must have no other call in progress.
  /// @returns The outcome. A failed connection is reported as an outcome and not thrown.
  virtual boost::asio::awaitable<CallOutcome> Call(LoadCall call, LoadSession& session) = 0;
};

}  // namespace poplarmoor
