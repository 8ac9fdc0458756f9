#include <algorithm>
#include <memory>
#include <utility>

#include "kernel/routing_policy.h"

namespace poplarmoor {

namespace {

using Endpoint = GroupView::Endpoint;
using EndpointList = std::vector<const Endpoint*>;

// One read in this many tries a replica whose last status, now old, did not satisfy it. The answer
// refreshes the status; without it, a replica that has caught up would stay unused.
constexpr uint64_t kProbeOneIn = 8;

/// Steps a random state (splitmix64), so that one random number yields several choices.
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

bool IsPrimaryRequest(const RouteRequest& request) {
  return NeedsPrimary(request.operation) || request.primary_required ||
         request.max_staleness == Duration(0);
}

/// Base of the policies that send everything that needs the primary to it.
class ReadSpreadingPolicy : public RoutingPolicy {
 public:
  std::vector<std::string> Candidates(const RouteRequest& request,
                                      const GroupView& group,
                                      TimePoint now,
                                      uint64_t random) override {
    return IsPrimaryRequest(request) ? PrimaryOf(group)
                                     : this->ReadCandidates(request, group, now, random);
  }

 protected:
  virtual std::vector<std::string> ReadCandidates(const RouteRequest& request,
                                                  const GroupView& group,
                                                  TimePoint now,
                                                  uint64_t random) = 0;
};

/// Sends everything to the primary.
class PrimaryOnlyPolicy : public RoutingPolicy {
 public:
  std::vector<std::string> Candidates(const RouteRequest&,
                                      const GroupView& group,
                                      TimePoint,
                                      uint64_t) override {
    return PrimaryOf(group);
  }
};

/// Sends reads to any replica, whatever its lag and load; the endpoint's own check keeps them
/// right.
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

/// Sends reads to all endpoints in turn.
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

/// Sends a read to a replica that is believed to satisfy it, and to the primary otherwise. A wrong
/// belief costs a hop, never freshness: the endpoint checks position and staleness when it runs the
/// statement.
class FreshReplicasPolicy : public ReadSpreadingPolicy {
 protected:
  std::vector<std::string> ReadCandidates(const RouteRequest& request,
                                          const GroupView& group,
                                          TimePoint now,
                                          uint64_t random) override {
    EndpointList fit;
    EndpointList rest;
    for (const Endpoint& endpoint : group.Endpoints()) {
      if (endpoint.info.leaving || endpoint.is_primary) {
        continue;
      }
      const bool usable = !group.IsSuspect(endpoint, now) &&
                          IsFit(request, group, endpoint, now, NextRandom(&random));
      (usable ? fit : rest).push_back(&endpoint);
    }
    Shuffle(&fit, &random);
    // The less loaded of two random replicas comes first. Taking the least loaded of all would send
    // every entry to the same replica while their knowledge of its load is equally old.
    const auto less_loaded = [&](const Endpoint* left, const Endpoint* right) {
      return group.Load(*left, now) < group.Load(*right, now);
    };
    if (fit.size() >= 2 && less_loaded(fit[1], fit[0])) {
      std::swap(fit[0], fit[1]);
    }
    if (fit.size() > 2) {
      std::stable_sort(fit.begin() + 1, fit.end(), less_loaded);
    }
    const Endpoint* primary = group.UsablePrimary();
    if (primary != nullptr) {
      fit.push_back(primary);
    }
    if (primary == nullptr || group.IsSuspect(*primary, now)) {
      // During a failover a lagging replica that catches up is better than no endpoint.
      fit.insert(fit.end(), rest.begin(), rest.end());
    }
    return NamesOf(fit);
  }

 private:
  static bool IsFit(const RouteRequest& request,
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
           random % kProbeOneIn == 0;
  }
};

template <typename Policy>
Registry<RoutingPolicy>::Entry Plugin(const char* name) {
  return {name, [] { return std::make_unique<Policy>(); }};
}

const Registry<RoutingPolicy>::Entry kFreshReplicas = Plugin<FreshReplicasPolicy>("fresh_replicas");
const Registry<RoutingPolicy>::Entry kWriterToPrimary =
    Plugin<WriterToPrimaryPolicy>("writer_to_primary");
const Registry<RoutingPolicy>::Entry kPrimaryOnly = Plugin<PrimaryOnlyPolicy>("primary_only");
const Registry<RoutingPolicy>::Entry kRoundRobin = Plugin<RoundRobinPolicy>("round_robin");

}  // namespace

}  // namespace poplarmoor
