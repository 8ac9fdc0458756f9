#include "config/deployment.h"

#include <deque>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/deployment_check.h"
#include "config/json_file.h"
#include "config/schemas.h"
#include "config/units.h"

namespace poplarmoor {

using nlohmann::json;

namespace {

void AppendProblems(std::vector<ConfigProblem> more, std::vector<ConfigProblem>* problems) {
  problems->insert(problems->end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
}

// Parses a file and checks the document against `schema`. Appends the problems to `problems`.
// Returns null when the file is not valid JSON or repeats a key in an object.
json ParseAndCheckSchema(const ConfigFile& file,
                         const char* schema,
                         std::vector<ConfigProblem>* problems) {
  try {
    json document = ParseJson(file.text, file.path);
    AppendProblems(CheckSchema(document, schema, file.path), problems);
    return document;
  } catch (const ConfigError& error) {
    AppendProblems(error.problems, problems);
    return json();
  }
}

std::string FormatInitialGroup(const json& service) {
  GroupState group;
  group.service = service["name"];
  group.term = 1;
  group.primary = service["endpoints"][0]["name"];
  group.proposer = "initial";
  for (const json& endpoint : service["endpoints"]) {
    group.endpoints.push_back({endpoint["name"], endpoint["address"], endpoint["failure_domain"]});
  }
  group.term_starts.push_back({1, 0});
  return FormatGroup(group);
}

Deployment SplitIntoObjects(const json& base, const std::deque<json>& overlays) {
  Deployment deployment;
  deployment.name = base["deployment"];
  json common = base;
  common.erase("services");
  common.erase("overridable");
  deployment.units[std::string(kCommonUnit)] = common.dump();
  for (const json& service : base["services"]) {
    // The endpoints are stored in the group object instead of the unit, because the group object
    // also names the primary among them.
    json unit = service;
    unit.erase("endpoints");
    unit.erase("overridable");
    const std::string name = service["name"];
    deployment.units[std::string(kServicePrefix) + name] = unit.dump();
    deployment.groups[name] = FormatInitialGroup(service);
  }
  for (const json& overlay : overlays) {
    deployment.units[std::string(kSitePrefix) + overlay["site"].get<std::string>()] =
        overlay.dump();
  }
  return deployment;
}

}  // namespace

Deployment ParseDeployment(const ConfigFile& base, const std::vector<ConfigFile>& overlays) {
  std::vector<ConfigProblem> problems;
  const json base_json = ParseAndCheckSchema(base, BaseSchema(), &problems);
  const bool base_valid = problems.empty();
  std::deque<json> overlay_json;
  std::vector<ConfigDocument> documents;
  for (const ConfigFile& overlay : overlays) {
    const size_t before = problems.size();
    overlay_json.push_back(ParseAndCheckSchema(overlay, OverlaySchema(), &problems));
    if (problems.size() == before) {
      documents.push_back({overlay.path, &overlay_json.back()});
    }
  }
  // CheckBase() and CheckOverlays() rely on the types of the values, so they get only files that
  // are valid by their schema.
  if (base_valid) {
    const ConfigDocument document{base.path, &base_json};
    AppendProblems(CheckBase(document), &problems);
    AppendProblems(CheckOverlays(document, documents), &problems);
  }
  if (!problems.empty()) {
    throw ConfigError(std::move(problems));
  }
  return SplitIntoObjects(base_json, overlay_json);
}

Deployment ReadDeployment(const std::string& base_path,
                          const std::vector<std::string>& overlay_paths) {
  std::vector<ConfigProblem> problems;
  const auto read = [&problems](const std::string& path) {
    try {
      return ConfigFile{path, ReadTextFile(path)};
    } catch (const ConfigError& error) {
      AppendProblems(error.problems, &problems);
      return ConfigFile{path, ""};
    }
  };
  const ConfigFile base = read(base_path);
  std::vector<ConfigFile> overlays;
  overlays.reserve(overlay_paths.size());
  for (const std::string& path : overlay_paths) {
    overlays.push_back(read(path));
  }
  if (!problems.empty()) {
    throw ConfigError(std::move(problems));
  }
  return ParseDeployment(base, overlays);
}

}  // namespace poplarmoor
