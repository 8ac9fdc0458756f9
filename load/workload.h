#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "kernel/rank.h"
#include "load/request_record.h"

namespace poplarmoor {

struct LoadOptions;

/// Chooses the requests of a run. Urgent requests are mostly writes, standard ones half, and
/// background ones are lookups of shared keys that may be stale.
class Workload {
 public:
  /// @param options Services, shares and seed.
  /// @param run_id Prefix of all request ids, unique over all runs on the same endpoints.
  Workload(const LoadOptions& options, std::string run_id);

  /// @param rank Rank of the request.
  /// @param session Session that sends it.
  /// @returns A record with everything that is known before sending.
  RequestRecord MakeRequest(Rank rank, int session);

  /// @param rate Events a second.
  /// @returns Seconds to the next event of a Poisson process.
  double MakeInterval(double rate);

  /// @param bound Exclusive bound, at least 1.
  /// @returns A uniform number.
  size_t Pick(size_t bound);

 private:
  bool Chance(double share);

  const LoadOptions& options;
  std::string run_id;
  std::mt19937_64 random;
  uint64_t next_id = 0;
};

}  // namespace poplarmoor
