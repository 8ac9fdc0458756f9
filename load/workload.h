#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "kernel/rank.h"
#include "load/request_record.h"

namespace poplarmoor {

struct LoadOptions;

/// Generates the requests of a run. Apart from transactions, 80% of the urgent requests and 50% of
/// the standard requests are writes. Background requests read keys that all sessions use, and
/// accept stale data.
class Workload {
 public:
  /// @param options Settings, of which services, shares of request kinds and seed are used.
  /// @param run_id Prefix of all request ids, unique over all runs on the same endpoints.
  Workload(const LoadOptions& options, std::string run_id);

  /// @param rank Rank of the request.
  /// @param session Number of the session that sends the request.
  /// @returns A record of a new request, without the fields of its answer.
  RequestRecord MakeRequest(Rank rank, int session);

  /// @param rate Mean number of events per second.
  /// @returns Random time in seconds to the next event of a Poisson process.
  double DrawInterval(double rate);

  /// @param bound Exclusive bound, at least 1.
  /// @returns A uniformly distributed number from 0 to bound - 1.
  size_t PickIndex(size_t bound);

 private:
  bool DrawWithProbability(double share);

  const LoadOptions& options;
  std::string run_id;
  std::mt19937_64 random;
  uint64_t next_id = 0;
};

}  // namespace poplarmoor
