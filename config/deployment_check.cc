#include "config/deployment_check.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "config/address_check.h"
#include "config/json_file.h"
#include "kernel/admission/admission_queue.h"
#include "kernel/rank.h"
#include "kernel/registry.h"
#include "kernel/routing_policy.h"

namespace poplarmoor {

using nlohmann::json;

namespace {

// Required number of endpoints in a group (section 4 of the design page).
constexpr size_t kGroupSize = 3;
// Minimum number of failure domains over which the endpoints of a group must be spread.
constexpr size_t kMinFailureDomains = 2;
constexpr const char* kOverridableKeys[] = {"ranks", "deadline_ms", "routing"};

std::vector<std::string> NamesOf(const json& rows) {
  std::vector<std::string> names;
  for (const json& row : rows) {
    names.push_back(row.is_string() ? row : row["name"]);
  }
  return names;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Checks the base file or one overlay and collects its problems.
class FileChecker {
 public:
  FileChecker(const ConfigDocument& base, std::string file)
      : base(*base.json),
        file(std::move(file)),
        failure_domains(NamesOf(this->base["failure_domains"])),
        sites(NamesOf(this->base["sites"])),
        pools(NamesOf(this->base["pools"])),
        services(NamesOf(this->base["services"])) {}

  void CheckBaseFile();
  void CheckOverlay(const json& overlay);
  void AddProblem(const std::string& pointer,
                  const json& value,
                  const std::string& message,
                  const std::string& allowed);

  std::vector<ConfigProblem> problems;

 private:
  // Adds a problem when `name` is not in `known`, the names of all entries of kind `entry_kind`.
  void RequireKnown(const std::string& pointer,
                    const json& name,
                    const std::string& entry_kind,
                    const std::vector<std::string>& known);
  // Adds a problem for each entry of the array `rows` whose name an earlier entry already has.
  void RequireUnique(const std::string& pointer, const json& rows, const std::string& entry_kind);
  void RequireKnownPolicy(const std::string& pointer,
                          const json& parent,
                          const char* key,
                          const std::vector<std::string>& known);
  void CheckService(const std::string& pointer, const json& service);
  void CheckEndpoints(const std::string& pointer, const json& service);
  void CheckConnections(const std::string& pointer, const json& parent, const json& pool);
  void CheckFloorShares(const std::string& pointer, const json& ranks);
  void CheckOverridable(const json& overlay,
                        const std::string& pointer,
                        const json& settings,
                        const json& service);
  bool IsOverridable(const json& service, const std::string& key) const;

  const json& base;
  std::string file;
  std::vector<std::string> failure_domains;
  std::vector<std::string> sites;
  std::vector<std::string> pools;
  std::vector<std::string> services;
  // JSON pointer to each endpoint, by endpoint name.
  std::map<std::string, std::string> endpoint_names;
  // JSON pointer to each endpoint, by endpoint address.
  std::map<std::string, std::string> endpoint_addresses;
};

void FileChecker::AddProblem(const std::string& pointer,
                             const json& value,
                             const std::string& message,
                             const std::string& allowed) {
  this->problems.push_back({this->file, pointer, ShortJson(value), message, allowed});
}

void FileChecker::RequireKnown(const std::string& pointer,
                               const json& name,
                               const std::string& entry_kind,
                               const std::vector<std::string>& known) {
  if (Contains(known, name)) {
    return;
  }
  const std::string nearest = FindNearest(name, known);
  this->AddProblem(
      pointer, name,
      "unknown " + entry_kind + (nearest.empty() ? "" : ", did you mean '" + nearest + "'?"),
      JoinNames(known));
}

void FileChecker::RequireUnique(const std::string& pointer,
                                const json& rows,
                                const std::string& entry_kind) {
  std::set<std::string> seen;
  for (size_t i = 0; i < rows.size(); ++i) {
    const bool is_name = rows[i].is_string();
    const json& name = is_name ? rows[i] : rows[i]["name"];
    if (!seen.insert(name).second) {
      this->AddProblem(JoinPointer(pointer, std::to_string(i)) + (is_name ? "" : "/name"), name,
                       "duplicate " + entry_kind, "each " + entry_kind + " once");
    }
  }
}

void FileChecker::RequireKnownPolicy(const std::string& pointer,
                                     const json& parent,
                                     const char* key,
                                     const std::vector<std::string>& known) {
  if (parent.contains(key)) {
    this->RequireKnown(pointer + "/" + key, parent[key], std::string(key) + " policy", known);
  }
}

void FileChecker::CheckFloorShares(const std::string& pointer, const json& ranks) {
  double sum = 0.0;
  for (const auto& row : kRankNames.rows) {
    const std::string rank(row.second);
    const json& common = this->base["ranks"].value(rank, json::object());
    const json& own = ranks.value(rank, json::object());
    sum += own.value("floor_share", common.value("floor_share", 0.0));
  }
  // The tolerance is for rounding errors of binary floating point: 0.7 + 0.2 + 0.1, for example, is
  // not exactly 1.
  if (sum > 1.0 + 1e-9) {
    this->AddProblem(pointer, sum, "the floor shares of all ranks add up to more than all slots",
                     "a sum of floor_share of at most 1");
  }
}

void FileChecker::CheckConnections(const std::string& pointer,
                                   const json& parent,
                                   const json& pool) {
  const int connections = parent.value("connections", pool["connections"].get<int>());
  const int slots = parent.value("slots", pool["slots"].get<int>());
  const int limit = pool["server_connections"];
  if (connections > limit) {
    this->AddProblem(pointer + "/connections", connections,
                     "more connections than the server allows",
                     "at most server_connections of the pool (" + std::to_string(limit) + ")");
  }
  // Each owner of an endpoint uses at most half of the connections, because the endpoint has two
  // owners for a short time while its ownership changes.
  if (slots > connections / 2) {
    this->AddProblem(pointer + "/slots", slots, "more slots than an owner has connections",
                     "at most half of connections (" + std::to_string(connections / 2) + ")");
  }
}

void FileChecker::CheckEndpoints(const std::string& pointer, const json& service) {
  const json& endpoints = service["endpoints"];
  std::set<std::string> used_failure_domains;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    const std::string endpoint_pointer = pointer + "/" + std::to_string(i);
    const json& endpoint = endpoints[i];
    const std::string name = endpoint["name"];
    const std::string address = endpoint["address"];
    used_failure_domains.insert(endpoint["failure_domain"]);
    this->RequireKnown(endpoint_pointer + "/failure_domain", endpoint["failure_domain"],
                       "failure domain", this->failure_domains);
    const auto [other_name, new_name] = this->endpoint_names.emplace(name, endpoint_pointer);
    if (!new_name) {
      this->AddProblem(endpoint_pointer + "/name", name,
                       "duplicate endpoint, also at " + other_name->second, "each endpoint once");
    }
    if (!IsAddress(address)) {
      this->AddProblem(endpoint_pointer + "/address", address, "malformed address",
                       "an IPv4 address and a port from 1 to 65535, for example 10.0.0.1:5432");
      continue;
    }
    const auto [other, new_address] = this->endpoint_addresses.emplace(address, endpoint_pointer);
    if (!new_address) {
      this->AddProblem(endpoint_pointer + "/address", address,
                       "duplicate address, also at " + other->second,
                       "a different address for each endpoint");
    }
  }
  if (endpoints.size() != kGroupSize) {
    this->AddProblem(pointer, endpoints.size(), "wrong number of endpoints",
                     "exactly " + std::to_string(kGroupSize) + " endpoints");
  }
  if (used_failure_domains.size() < kMinFailureDomains) {
    this->AddProblem(pointer, json(used_failure_domains), "all endpoints are in one failure domain",
                     "at least " + std::to_string(kMinFailureDomains) + " failure domains");
  }
}

void FileChecker::CheckService(const std::string& pointer, const json& service) {
  this->RequireKnown(pointer + "/pool", service["pool"], "pool", this->pools);
  const json& used_sites = service["sites"];
  for (size_t i = 0; i < used_sites.size(); ++i) {
    this->RequireKnown(pointer + "/sites/" + std::to_string(i), used_sites[i], "site", this->sites);
  }
  this->RequireUnique(pointer + "/sites", used_sites, "site");
  this->RequireKnownPolicy(pointer, service, "routing", Registry<RoutingPolicy>::Names());
  this->RequireKnownPolicy(pointer, service, "admission", Registry<AdmissionQueue>::Names());
  if (service.contains("ranks")) {
    this->CheckFloorShares(pointer + "/ranks", service["ranks"]);
  }
  const bool overrides_pool_limits = service.contains("connections") || service.contains("slots");
  for (const json& pool : this->base["pools"]) {
    if (overrides_pool_limits && pool["name"] == service["pool"]) {
      this->CheckConnections(pointer, service, pool);
      break;
    }
  }
  this->CheckEndpoints(pointer + "/endpoints", service);
}

void FileChecker::CheckBaseFile() {
  this->RequireUnique("/failure_domains", this->base["failure_domains"], "failure domain");
  this->RequireUnique("/sites", this->base["sites"], "site");
  this->RequireUnique("/pools", this->base["pools"], "pool");
  this->RequireUnique("/services", this->base["services"], "service");
  this->CheckFloorShares("/ranks", json::object());
  for (size_t i = 0; i < this->base["sites"].size(); ++i) {
    this->RequireKnown("/sites/" + std::to_string(i) + "/failure_domain",
                       this->base["sites"][i]["failure_domain"], "failure domain",
                       this->failure_domains);
  }
  for (size_t i = 0; i < this->base["pools"].size(); ++i) {
    const json& pool = this->base["pools"][i];
    this->CheckConnections("/pools/" + std::to_string(i), pool, pool);
  }
  for (size_t i = 0; i < this->base["services"].size(); ++i) {
    this->CheckService("/services/" + std::to_string(i), this->base["services"][i]);
  }
}

bool FileChecker::IsOverridable(const json& service, const std::string& key) const {
  const json common = this->base.value("overridable", json::array());
  const json allowed = service.value("overridable", common);
  return std::find(allowed.begin(), allowed.end(), key) != allowed.end();
}

void FileChecker::CheckOverridable(const json& overlay,
                                   const std::string& pointer,
                                   const json& settings,
                                   const json& service) {
  for (const char* key : kOverridableKeys) {
    if (settings.contains(key) && !this->IsOverridable(service, key)) {
      const std::string name = service["name"];
      this->AddProblem(pointer + "/" + key, settings[key],
                       "the base file does not let site " + overlay["site"].get<std::string>() +
                           " change this for service " + name,
                       "keys that 'overridable' of the service or of the base file lists");
    }
  }
}

void FileChecker::CheckOverlay(const json& overlay) {
  const json& site = overlay["site"];
  this->RequireKnown("/site", site, "site", this->sites);
  this->RequireKnownPolicy("", overlay, "routing", Registry<RoutingPolicy>::Names());
  const json by_service = overlay.value("services", json::object());
  for (const auto& [name, settings] : by_service.items()) {
    const std::string pointer = JoinPointer("/services", name);
    this->RequireKnown(pointer, name, "service", this->services);
    this->RequireKnownPolicy(pointer, settings, "routing", Registry<RoutingPolicy>::Names());
  }
  for (const json& service : this->base["services"]) {
    const std::string name = service["name"];
    const bool lists_site = Contains(NamesOf(service["sites"]), site);
    if (lists_site) {
      this->CheckOverridable(overlay, "", overlay, service);
    }
    if (by_service.contains(name)) {
      const std::string pointer = JoinPointer("/services", name);
      if (!lists_site) {
        this->AddProblem(pointer, name, "the service does not list this site",
                         "services whose 'sites' contain " + site.get<std::string>());
      }
      this->CheckOverridable(overlay, pointer, by_service[name], service);
    }
  }
}

}  // namespace

std::vector<ConfigProblem> CheckBase(const ConfigDocument& base) {
  FileChecker checker(base, base.path);
  checker.CheckBaseFile();
  return std::move(checker.problems);
}

std::vector<ConfigProblem> CheckOverlays(const ConfigDocument& base,
                                         const std::vector<ConfigDocument>& overlays) {
  std::vector<ConfigProblem> problems;
  std::map<std::string, std::string> file_of_site;
  for (const ConfigDocument& overlay : overlays) {
    FileChecker checker(base, overlay.path);
    checker.CheckOverlay(*overlay.json);
    const std::string site = (*overlay.json)["site"];
    const auto [other, is_new] = file_of_site.emplace(site, overlay.path);
    if (!is_new) {
      checker.AddProblem("/site", site,
                         "second overlay of this site, the first is " + other->second,
                         "one overlay for each site");
    }
    problems.insert(problems.end(), checker.problems.begin(), checker.problems.end());
  }
  return problems;
}

}  // namespace poplarmoor
