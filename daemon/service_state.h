#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "kernel/admission/retry_budget.h"
#include "kernel/group_view.h"
#include "kernel/routing_policy.h"
#include "kernel/time.h"

namespace poplarmoor {

class ClusterView;

/// State of one service at an entry daemon: its group with the load of the endpoints, its routing
/// policy and its retry budget. `mutex` guards all other members.
struct ServiceState {
  std::mutex mutex;
  GroupView group;
  std::string routing;  // Name of the routing policy.
  std::unique_ptr<RoutingPolicy> policy;
  RetryBudget budget;
  TimePoint refreshed_at;
};

}  // namespace poplarmoor
