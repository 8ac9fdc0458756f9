#include "session/connection_metrics.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "session/cluster.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace {

constexpr Duration kPublishInterval = 1s;
// Number of organisations with series of their own; the others are added up under kOthers.
constexpr size_t kListedOrganisations = 10;
constexpr char kOthers[] = "other";

struct OrganisationLoad {
  size_t connections = 0;
  size_t waiting = 0;
};

using LoadByOrganisation = std::map<std::string, OrganisationLoad>;

// Adds up all organisations beyond the first kListedOrganisations by connections and waiting
// statements.
LoadByOrganisation KeepLargest(const LoadByOrganisation& loads) {
  std::vector<std::pair<std::string, OrganisationLoad>> order(loads.begin(), loads.end());
  std::stable_sort(order.begin(), order.end(), [](const auto& left, const auto& right) {
    return left.second.connections + left.second.waiting >
           right.second.connections + right.second.waiting;
  });
  LoadByOrganisation kept;
  for (size_t place = 0; place < order.size(); ++place) {
    OrganisationLoad& load = kept[place < kListedOrganisations ? order[place].first : kOthers];
    load.connections += order[place].second.connections;
    load.waiting += order[place].second.waiting;
  }
  return kept;
}

}  // namespace

void ConnectionMetrics::Publish(Cluster* cluster, Metrics* metrics, TimePoint now) {
  if (!cluster->routes().organisations || now < this->next) {
    return;
  }
  this->next = now + kPublishInterval;
  LoadByOrganisation loads;
  for (const auto& [service, group] : cluster->groups()) {
    for (const auto& [id, pool] : group->members) {
      size_t open = 0;
      for (const auto& [organisation, count] : pool->ConnectionsByOrganisation()) {
        open += count;
        loads[organisation].connections += count;
      }
      for (const auto& [organisation, count] : pool->queue().WaitingByOrganisation()) {
        loads[organisation].waiting += count;
      }
      metrics->Set(Metric::kOpenConnections, {id}, static_cast<double>(open));
      Counts& counts = this->published[id];
      metrics->Add(Metric::kConnectionsOpened, {id},
                   static_cast<double>(pool->opened - counts.opened));
      metrics->Add(Metric::kConnectionsEvicted, {id},
                   static_cast<double>(pool->evicted - counts.evicted));
      if (pool->evicted != counts.evicted) {
        Log(LogLevel::kInfo, "idle connections closed to make room for other organisations",
            {{"endpoint", id},
             {"closed", pool->evicted - counts.evicted},
             {"opened", pool->opened - counts.opened},
             {"open", open}});
      }
      counts = {pool->opened, pool->evicted};
    }
  }
  loads = KeepLargest(loads);
  for (const std::string& organisation : std::exchange(this->listed, {})) {
    if (!loads.contains(organisation)) {
      metrics->Remove(Metric::kOrganisationConnections, {organisation});
      metrics->Remove(Metric::kOrganisationWaiting, {organisation});
    }
  }
  for (const auto& [organisation, load] : loads) {
    metrics->Set(Metric::kOrganisationConnections, {organisation},
                 static_cast<double>(load.connections));
    metrics->Set(Metric::kOrganisationWaiting, {organisation}, static_cast<double>(load.waiting));
    this->listed.insert(organisation);
  }
}

}  // namespace poplarmoor
