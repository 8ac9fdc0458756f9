#include "kernel/placement/read_placement.h"

#include <algorithm>
#include <tuple>
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
// Largest difference of expected delays that is given up for an endpoint of higher affinity. It is
// less than the 12 ms for which opening a connection occupies the endpoint, and less than
// kCrossDomainPenalty, so that affinity moves no read to another failure domain.
constexpr Duration kSimilarDelay = 5ms;

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
  struct Place {
    Duration delay{};
    uint64_t affinity = 0;
    std::string id;
  };
  std::vector<Place> order;
  for (const ReadCandidate& candidate : candidates) {
    if (candidate.usable) {
      order.push_back({ExpectedDelay(candidate), candidate.affinity, candidate.id});
    }
  }
  std::sort(order.begin(), order.end(), [](const Place& left, const Place& right) {
    return std::tie(left.delay, left.id) < std::tie(right.delay, right.id);
  });
  const auto similar_end = std::find_if(order.begin(), order.end(), [&order](const Place& place) {
    return place.delay > order.front().delay + kSimilarDelay;
  });
  std::stable_sort(order.begin(), similar_end, [](const Place& left, const Place& right) {
    return left.affinity > right.affinity;
  });
  std::vector<std::string> ids;
  ids.reserve(order.size());
  for (Place& place : order) {
    ids.push_back(std::move(place.id));
  }
  return ids;
}

}  // namespace poplarmoor
