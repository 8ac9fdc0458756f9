#include <algorithm>
#include <memory>
#include <utility>

#include "kernel/routing_policy.h"

namespace poplarmoor {

namespace {

using Endpoint = GroupView::Endpoint;
using EndpointList = std::vector<const Endpoint*>;

// If a replica's last status is old and does not satisfy a read, one in this many such reads is
// sent to the replica all the same. The answer refreshes the status; otherwise a replica that has
// caught up would stay unused.
constexpr uint64_t kReadsPerProbe = 8;

/// Draws the next number of a splitmix64 generator. A routing policy is given one random number for
/// each request and derives all that it needs from this one.
/// @param state State of the generator; at first the random number that the policy was given.
uint64_t NextRandom(uint64_t* state) {
  uint64_t value = (*state += 0x9e3779b97f4a7c15);
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

void Shuffle(EndpointList* endpoints, uint64_t* random) {
  for (size_t i = endpoints->size(); i > 1; --i) {
    std::swap((*endpoints)[i - 1], (*endpoints)[NextRandom(random) % i]);
  }
}

std::vector<std::string> NamesOf(const EndpointList& endpoints) {
  std::vector<std::string> names;
  names.reserve(endpoints.size());
  for (const Endpoint* endpoint : endpoints) {
    names.push_back(endpoint->info.name);
  }
  return names;
}

std::vector<std::string> PrimaryOf(const GroupView& group) {
  const Endpoint* primary = group.UsablePrimary();
  return primary == nullptr ? std::vector<std::string>{} : NamesOf({primary});
}

bool RequiresPrimary(const RouteRequest& request) {
  return NeedsPrimary(request.operation) || request.primary_required ||
         request.max_staleness == Duration(0);
}

/// Base of the policies that spread reads over endpoints and send a request to the primary only
/// when it needs the primary.
class ReadSpreadingPolicy : public RoutingPolicy {
 public:
  std::vector<std::string> Candidates(const RouteRequest& request,
                                      const GroupView& group,
                                      TimePoint now,
                                      uint64_t random) override {
    return RequiresPrimary(request) ? PrimaryOf(group)
                                    : this->ReadCandidates(request, group, now, random);
  }

 protected:
  virtual std::vector<std::string> ReadCandidates(const RouteRequest& request,
                                                  const GroupView& group,
                                                  TimePoint now,
                                                  uint64_t random) = 0;
};

/// Sends all requests to the primary.
class PrimaryOnlyPolicy : public RoutingPolicy {
 public:
  std::vector<std::string> Candidates(const RouteRequest&,
                                      const GroupView& group,
                                      TimePoint,
                                      uint64_t) override {
    return PrimaryOf(group);
  }
};

/// Sends reads to any replica, whatever its lag and load; the replica itself checks whether it
/// satisfies the position and staleness that the read requires.
class WriterToPrimaryPolicy : public ReadSpreadingPolicy {
 protected:
  std::vector<std::string> ReadCandidates(const RouteRequest&,
                                          const GroupView& group,
                                          TimePoint,
                                          uint64_t random) override {
    EndpointList replicas;
    for (const Endpoint& endpoint : group.Endpoints()) {
      if (!endpoint.info.leaving && !endpoint.is_primary) {
        replicas.push_back(&endpoint);
      }
    }
    Shuffle(&replicas, &random);
    if (const Endpoint* primary = group.UsablePrimary()) {
      replicas.push_back(primary);
    }
    return NamesOf(replicas);
  }
};

/// Sends reads to all endpoints of the group in turn.
class RoundRobinPolicy : public ReadSpreadingPolicy {
 protected:
  std::vector<std::string> ReadCandidates(const RouteRequest&,
                                          const GroupView& group,
                                          TimePoint,
                                          uint64_t) override {
    EndpointList endpoints;
    for (const Endpoint& endpoint : group.Endpoints()) {
      if (!endpoint.info.leaving) {
        endpoints.push_back(&endpoint);
      }
    }
    if (!endpoints.empty()) {
      const auto first = static_cast<std::ptrdiff_t>(this->turn++ % endpoints.size());
      std::rotate(endpoints.begin(), endpoints.begin() + first, endpoints.end());
    }
    return NamesOf(endpoints);
  }

 private:
  size_t turn = 0;
};

/// Sends a read to a replica whose last known status satisfies the read, and to the primary if
/// there is none. An outdated status costs another attempt, never a stale read: the endpoint checks
/// position and staleness when it runs the statement.
class FreshReplicasPolicy : public ReadSpreadingPolicy {
 protected:
  std::vector<std::string> ReadCandidates(const RouteRequest& request,
                                          const GroupView& group,
                                          TimePoint now,
                                          uint64_t random) override {
    EndpointList suitable;
    EndpointList unsuitable;
    for (const Endpoint& endpoint : group.Endpoints()) {
      if (endpoint.info.leaving || endpoint.is_primary) {
        continue;
      }
      const bool is_suitable = !group.IsSuspect(endpoint, now) &&
                               IsSuitable(request, group, endpoint, now, NextRandom(&random));
      (is_suitable ? suitable : unsuitable).push_back(&endpoint);
    }
    Shuffle(&suitable, &random);
    // The first two replicas are random after the shuffle; the less loaded of them comes first. If
    // the least loaded replica of all came first, every entry daemon (the daemon that received the
    // request) would choose the same replica until the load figures change.
    const auto less_loaded = [&](const Endpoint* left, const Endpoint* right) {
      return group.Load(*left, now) < group.Load(*right, now);
    };
    if (suitable.size() >= 2 && less_loaded(suitable[1], suitable[0])) {
      std::swap(suitable[0], suitable[1]);
    }
    if (suitable.size() > 2) {
      std::stable_sort(suitable.begin() + 1, suitable.end(), less_loaded);
    }
    const Endpoint* primary = group.UsablePrimary();
    if (primary != nullptr) {
      suitable.push_back(primary);
    }
    if (primary == nullptr || group.IsSuspect(*primary, now)) {
      // While no usable primary is known or the primary is suspect, a lagging replica, which may
      // catch up, is better than no endpoint.
      suitable.insert(suitable.end(), unsuitable.begin(), unsuitable.end());
    }
    return NamesOf(suitable);
  }

 private:
  static bool IsSuitable(const RouteRequest& request,
                         const GroupView& group,
                         const Endpoint& endpoint,
                         TimePoint now,
                         uint64_t random) {
    if (!endpoint.status) {
      return true;
    }
    const EndpointStatus& status = *endpoint.status;
    const bool fresh_enough = !request.max_staleness || status.staleness <= *request.max_staleness;
    const bool has_position = request.required.term == 0 ||
                              (status.last.term >= request.required.term &&
                               group.EstimateReplayed(endpoint, now) >= request.required.index);
    if (fresh_enough && has_position) {
      return true;
    }
    return !group.IsCurrent(endpoint, now) && endpoint.outstanding == 0 &&
           random % kReadsPerProbe == 0;
  }
};

template <typename Policy>
Registry<RoutingPolicy>::Entry MakePluginEntry(const char* name) {
  return {name, [] { return std::make_unique<Policy>(); }};
}

const Registry<RoutingPolicy>::Entry kFreshReplicas =
    MakePluginEntry<FreshReplicasPolicy>("fresh_replicas");
const Registry<RoutingPolicy>::Entry kWriterToPrimary =
    MakePluginEntry<WriterToPrimaryPolicy>("writer_to_primary");
const Registry<RoutingPolicy>::Entry kPrimaryOnly =
    MakePluginEntry<PrimaryOnlyPolicy>("primary_only");
const Registry<RoutingPolicy>::Entry kRoundRobin = MakePluginEntry<RoundRobinPolicy>("round_robin");

}  // namespace

}  // namespace poplarmoor
