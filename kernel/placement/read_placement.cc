#include "kernel/placement/read_placement.h"

#include <algorithm>
#include <utility>

namespace poplarmoor {

namespace {

// Queueing delay that is added as a penalty for a read in another failure domain. Traffic between
// domains costs money, so a read leaves its domain only to save more queueing delay than this,
// which is about the time of one short statement.
constexpr Duration kCrossDomainPenalty = 10ms;
// The same for a read in another region: the round trip between regions takes some 25 ms, and all
// traffic between two regions shares one link.
constexpr Duration kCrossRegionPenalty = 40ms;
// Queueing delay that is added as a penalty for a read that another daemon forwards to the
// endpoint: the read takes two more network hops and adds work to that daemon.
constexpr Duration kRelayPenalty = 20ms;
// Queueing delay that is added as a penalty for a read at the primary. Only the primary can serve
// writes, so reads avoid it while a replica has little load.
constexpr Duration kPrimaryPenalty = 30ms;

Duration ExpectedDelay(const ReadCandidate& candidate) {
  const auto limit = std::max<uint32_t>(candidate.limit, 1);
  Duration delay = candidate.service_time * (candidate.busy + limit) / limit;
  if (candidate.distance == Distance::kSameRegion) {
    delay += kCrossDomainPenalty;
  } else if (candidate.distance == Distance::kOtherRegion) {
    delay += kCrossRegionPenalty;
  }
  if (candidate.relayed) {
    delay += kRelayPenalty;
  }
  if (candidate.is_primary) {
    delay += kPrimaryPenalty;
  }
  return delay;
}

}  // namespace

std::vector<std::string> OrderForRead(const std::vector<ReadCandidate>& candidates) {
  std::vector<std::pair<Duration, std::string>> order;
  for (const ReadCandidate& candidate : candidates) {
    if (candidate.usable) {
      order.emplace_back(ExpectedDelay(candidate), candidate.id);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<std::string> ids;
  ids.reserve(order.size());
  for (auto& [delay, id] : order) {
    ids.push_back(std::move(id));
  }
  return ids;
}

}  // namespace poplarmoor
