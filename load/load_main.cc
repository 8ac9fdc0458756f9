#include <algorithm>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "load/load_options.h"
#include "load/load_report.h"
#include "load/load_runner.h"

namespace po = boost::program_options;

namespace {

constexpr int kExitViolation = 1;
constexpr int kExitError = 2;
// Exit code if no violation was seen, but the log of at least one service could not be read.
constexpr int kExitUnchecked = 3;

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    if (!item.empty()) {
      items.push_back(item);
    }
  }
  return items;
}

// Assigns endpoints to services. SERVICE=ADDR names the service; plain addresses are split into
// groups of equal size, one for each service, in the order of --services.
void AssignEndpoints(const std::vector<std::string>& items, poplarmoor::LoadOptions& options) {
  const size_t services = options.services.size();
  for (size_t i = 0; i < items.size(); ++i) {
    const size_t equals = items[i].find('=');
    if (equals != std::string::npos) {
      options.endpoints[items[i].substr(0, equals)].push_back(items[i].substr(equals + 1));
    } else if (items.size() % services == 0) {
      options.endpoints[options.services[i / (items.size() / services)]].push_back(items[i]);
    } else {
      throw std::runtime_error(
          "--endpoints: use SERVICE=ADDR, or give the same number of addresses for each service");
    }
  }
}

std::string ReadToken(const std::string& path) {
  std::ifstream file(path);
  std::string token;
  if (!std::getline(file, token)) {
    throw std::runtime_error("cannot read " + path);
  }
  return token;
}

}  // namespace

int main(int argc, char** argv) {
  poplarmoor::LoadOptions options;
  std::string daemons;
  std::string endpoints;
  std::string operators;
  std::string token_file;
  std::string services;
  std::string sites;
  std::string report_file;
  po::options_description description(
      "poplarmoor-load: generates bounded load and checks the guarantees");
  auto add = description.add_options();
  add("help", "print this help");
  add("daemons", po::value(&daemons), "addresses of the callers' listeners, ADDR,ADDR,...");
  add("direct", po::bool_switch(&options.direct), "call the endpoints without the proxy");
  add("direct-connections", po::value(&options.direct_connections),
      "data connections to each primary in direct mode");
  add("endpoints", po::value(&endpoints),
      "[SERVICE=]ADDR,... endpoints whose logs are compared at the end");
  add("operators", po::value(&operators), "addresses of the operators' listeners, ADDR,ADDR,...");
  add("operator-token-file", po::value(&token_file), "file with the operators' token");
  add("watch-config", po::bool_switch(&options.watch_config),
      "report in config_in_force_ms how long a configuration change takes to reach all daemons");
  add("services", po::value(&services)->required(), "NAME,NAME,...");
  add("sites", po::value(&sites)->required(), "NAME,NAME,...");
  add("duration", po::value(&options.duration_s), "seconds");
  for (size_t i = 0; i < poplarmoor::kRankCount; ++i) {
    const std::string name(poplarmoor::kRankNames.rows[i].second);
    add((name + "-rate").c_str(), po::value(&options.ranks[i].rate), "requests a second");
    add((name + "-target-ms").c_str(), po::value(&options.ranks[i].target_ms),
        "target latency in ms");
  }
  add("sessions", po::value(&options.sessions),
      "number of sessions, the maximum of outstanding requests");
  add("seed", po::value(&options.seed), "random seed of the workload");
  add("deadline-ms", po::value(&options.deadline_ms), "deadline of each request in ms");
  add("transactions", po::value(&options.transactions),
      "share of transactions among urgent and standard requests");
  add("nonrepeatable", po::value(&options.nonrepeatable),
      "share of non-repeatable requests among writes");
  add("settle-ms", po::value(&options.settle_ms), "pause in ms before the logs are read");
  add("idle-connections", po::value(&options.idle_connections),
      "number of connections to hold open without requests");
  add("forbid-cuts", po::bool_switch(&options.forbid_cuts),
      "exit with code 1 if a connection is closed on a request in flight");
  add("report", po::value(&report_file), "file for the JSON report; stdout by default");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    po::notify(values);
    options.daemons = Split(daemons);
    options.operators = Split(operators);
    options.services = Split(services);
    options.sites = Split(sites);
    AssignEndpoints(Split(endpoints), options);
    if (options.daemons.empty() != options.direct) {
      throw std::runtime_error("give either --daemons or --direct");
    }
    if (!token_file.empty()) {
      options.operator_token = ReadToken(token_file);
    }
    const poplarmoor::LoadReport report = poplarmoor::LoadRunner(options).Run();
    const std::string text = report.ToJson().dump(2) + "\n";
    if (report_file.empty()) {
      std::cout << text;
    } else {
      std::ofstream(report_file) << text;
    }
    const bool cut = options.forbid_cuts && report.checks.cut_in_flight > 0;
    if (report.checks.violations() > 0 || cut) {
      return kExitViolation;
    }
    return report.unchecked_services.empty() ? 0 : kExitUnchecked;
  } catch (const std::exception& error) {
    std::cerr << "poplarmoor-load: " << error.what() << "\n";
    return kExitError;
  }
}
