#include "cli/config_plan.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "config/config_problem.h"
#include "config/deployment.h"
#include "config/json_file.h"
#include "config/units.h"
#include "net/platform_client.h"

namespace poplarmoor {

using nlohmann::json;

namespace {

constexpr const char* kRemovedUnit = R"({"removed":true})";

// Parses the content of a stored object and drops the id of the change that stored it.
json ParseWithoutChangeId(const std::string& value) {
  json content = json::parse(value);
  if (content.is_object()) {
    content.erase("change_id");
  }
  return content;
}

bool IsRemoved(const json& content) {
  return content.is_object() && content.value("removed", false);
}

std::vector<std::string> DescribeDifference(const json& before, const json& after) {
  std::vector<std::string> lines;
  for (const json& patch_operation : json::diff(before, after)) {
    const std::string operation = patch_operation["op"];
    const std::string path = patch_operation["path"];
    std::string line = operation + " " + path;
    if (operation != "add") {
      line += " " + ShortJson(before.at(json::json_pointer(path)));
    }
    if (operation != "remove") {
      line += (operation == "replace" ? " -> " : " ") + ShortJson(patch_operation["value"]);
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

std::set<std::string> PoolNames(const json& common) {
  std::set<std::string> names;
  for (const json& pool : common.value("pools", json::array())) {
    names.insert(pool["name"]);
  }
  return names;
}

bool ContainsAll(const std::set<std::string>& all, const std::set<std::string>& part) {
  return std::includes(all.begin(), all.end(), part.begin(), part.end());
}

bool HaveSameEndpoints(const GroupState& left, const GroupState& right) {
  const auto sorted = [](std::vector<EndpointInfo> endpoints) {
    std::sort(endpoints.begin(), endpoints.end(),
              [](const auto& one, const auto& other) { return one.name < other.name; });
    return endpoints;
  };
  return sorted(left.endpoints) == sorted(right.endpoints);
}

// Collects the changes of a plan: first the groups, then the configuration units.
class PlanBuilder {
 public:
  PlanBuilder(const Deployment& deployment, const PlatformSnapshot& config)
      : deployment(deployment) {
    for (const PlatformObject& object : config.objects) {
      this->stored[object.name] = &object;
      this->plan.revision = std::max(this->plan.revision, object.revision);
    }
  }

  void AddGroups(const PlatformSnapshot& groups) {
    std::map<std::string, const PlatformObject*> existing;
    for (const PlatformObject& object : groups.objects) {
      existing[object.name] = &object;
    }
    for (const auto& [service, content] : this->deployment.groups) {
      const auto found = existing.find(service);
      if (found == existing.end()) {
        this->plan.changes.push_back(
            {ChangeAction::kAdd, "group", service, 0, content, {"primary and two replicas"}});
        continue;
      }
      const GroupState group = ParseGroup(found->second->value, found->second->version);
      if (!HaveSameEndpoints(group, ParseGroup(content, 0))) {
        this->plan.problems.push_back(
            "the endpoints of service " + service +
            " differ from those of its group on the platform; apply does not replace endpoints "
            "of an existing group");
      }
    }
  }

  void AddUnits() {
    std::vector<UnitChange> common;
    std::vector<UnitChange> services;
    std::vector<UnitChange> sites;
    for (const auto& [name, content] : this->deployment.units) {
      auto& changes = name == kCommonUnit                ? common
                      : name.starts_with(kServicePrefix) ? services
                                                         : sites;
      this->AddUnit(name, content, &changes);
    }
    for (const auto& [name, object] : this->stored) {
      if (!this->deployment.units.contains(name) &&
          !IsRemoved(ParseWithoutChangeId(object->value))) {
        auto& changes = name.starts_with(kServicePrefix) ? services : sites;
        changes.push_back(
            {ChangeAction::kRemove, "config", name, object->version, kRemovedUnit, {}});
      }
    }
    // A daemon does not know a service whose pool is missing. The unit "common" contains the pools,
    // so it is written before the services when pools are added and after them when pools are
    // removed.
    if (this->RemovesPools()) {
      std::swap(common, services);
    }
    for (auto* part : {&common, &services, &sites}) {
      std::move(part->begin(), part->end(), std::back_inserter(this->plan.changes));
    }
  }

  ConfigPlan plan;

 private:
  void AddUnit(const std::string& name,
               const std::string& content,
               std::vector<UnitChange>* changes) {
    const json after = json::parse(content);
    const auto found = this->stored.find(name);
    if (found == this->stored.end()) {
      changes->push_back({ChangeAction::kAdd, "config", name, 0, content, {}});
      return;
    }
    const json before = ParseWithoutChangeId(found->second->value);
    if (before != after) {
      const bool was_removed = IsRemoved(before);
      changes->push_back(
          {was_removed ? ChangeAction::kAdd : ChangeAction::kChange, "config", name,
           found->second->version, content,
           was_removed ? std::vector<std::string>() : DescribeDifference(before, after)});
    }
  }

  bool RemovesPools() {
    const auto found = this->stored.find(std::string(kCommonUnit));
    if (found == this->stored.end()) {
      return false;
    }
    const auto before = PoolNames(ParseWithoutChangeId(found->second->value));
    const auto after = PoolNames(json::parse(this->deployment.units.at(std::string(kCommonUnit))));
    if (ContainsAll(after, before)) {
      return false;
    }
    if (!ContainsAll(before, after)) {
      this->plan.problems.push_back(
          "the files add a pool and remove another one; add and use the new pool first, then "
          "remove the old one with a second apply");
    }
    return true;
  }

  const Deployment& deployment;
  std::map<std::string, const PlatformObject*> stored;
};

}  // namespace

ConfigPlan MakePlan(const Deployment& deployment,
                    const PlatformSnapshot& config,
                    const PlatformSnapshot& groups) {
  PlanBuilder builder(deployment, config);
  builder.AddGroups(groups);
  builder.AddUnits();
  return std::move(builder.plan);
}

}  // namespace poplarmoor
