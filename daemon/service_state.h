#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "kernel/group_view.h"
#include "kernel/retry_budget.h"
#include "kernel/routing_policy.h"
#include "kernel/time.h"

namespace poplarmoor {

class ClusterView;

/// What an entry knows of one service: the group with the load of its endpoints, the routing policy
/// and the retry budget. Every member is guarded by the mutex.
struct ServiceState {
  std::mutex mutex;
  GroupView group;
  std::string routing;  // Name of the policy.
  std::unique_ptr<RoutingPolicy> policy;
  RetryBudget budget;
  TimePoint refreshed_at;
};

}  // namespace poplarmoor
