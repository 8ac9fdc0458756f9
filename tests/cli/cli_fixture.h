#pragma once

#include <utility>

#include <unistd.h>

#include <boost/asio/awaitable.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "cli/cli.h"
#include "standins/platform_server.h"

namespace poplarmoor {

/// Stand-in for the operators' listener of a daemon. Returns prepared answers.
class FakeDaemon : public StandinServer {
 public:
  FakeDaemon() { this->Start("127.0.0.1:0"); }
  ~FakeDaemon() override { this->Stop(); }

  // Body of the answer by request path. Must be set before the first request.
  std::map<std::string, std::string> answers;
  std::vector<HttpRequest> requests;

 protected:
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request, ConnectionId) override {
    this->requests.push_back(request);
    HttpResponse response;
    if (request.headers["authorization"] != "Bearer a-token-of-20-letters") {
      response.status = 401;
    } else if (!this->answers.contains(request.target)) {
      response.status = 404;
      response.body = R"({"error":{"reason":"bad_request","message":"no such thing"}})";
    } else {
      response.body = this->answers[request.target];
    }
    co_return response;
  }
};

/// Exit code and output of one run of the command line.
struct CliResult {
  ExitCode code;
  std::string out;
  std::string err;
};

/// Runs the command line against a platform stand-in, with a temporary directory for files.
class CliFixture {
 public:
  CliFixture() : directory(std::filesystem::temp_directory_path()) {
    this->directory /= "poplarmoor-cli-" + std::to_string(getpid());
    std::filesystem::create_directories(this->directory);
    this->token_file = this->Write("token", "a-token-of-20-letters\n");
    this->StartPlatform({});
  }
  ~CliFixture() { std::filesystem::remove_all(this->directory); }

  void StartPlatform(PlatformOptions options) {
    this->platform = std::make_unique<PlatformServer>(options);
    this->platform->Start("127.0.0.1:0");
  }

  std::string Write(const std::string& name, const std::string& text) const {
    const std::string path = (this->directory / name).string();
    std::ofstream(path) << text;
    return path;
  }

  /// Runs a command with the addresses of the platform and daemon stand-ins.
  CliResult Run(std::vector<std::string> arguments) {
    for (const std::string& option :
         {std::string("--platform"), this->platform->address(), std::string("--token-file"),
          this->token_file, std::string("--timeout-ms"), std::string("5000")}) {
      arguments.push_back(option);
    }
    for (const std::string& daemon : this->daemons) {
      arguments.insert(arguments.end(), {"--daemon", daemon});
    }
    std::ostringstream out;
    std::ostringstream err;
    Cli cli(out, err);
    const ExitCode code = cli.Run(arguments);
    return {code, out.str(), err.str()};
  }

  CliResult Apply(const nlohmann::json& base, std::vector<std::string> more = {}) {
    std::vector<std::string> arguments{"apply", this->Write("base.json", base.dump())};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return this->Run(arguments);
  }

  void SetFaults(const nlohmann::json& faults) const {
    this->platform->Call("PUT", "/control/faults", faults.dump());
  }

  nlohmann::json ReadStored(const std::string& path) const {
    return nlohmann::json::parse(this->platform->Call("GET", "/v1/objects/" + path).body);
  }

  std::filesystem::path directory;
  std::string token_file;
  std::unique_ptr<PlatformServer> platform;
  std::vector<std::string> daemons;
};

/// @returns A valid base file with the services "orders" and "members".
inline nlohmann::json ExampleBase() {
  nlohmann::json base = nlohmann::json::parse(R"({
    "deployment": "d", "failure_domains": ["fd-a", "fd-b"],
    "sites": [{"name": "portmore", "failure_domain": "fd-a"}],
    "ranks": {"urgent": {"target_ms": 200}}, "overridable": ["deadline_ms"],
    "pools": [{"name": "ledger", "slots": 3, "connections": 25, "connect_ms": 10,
               "server_connections": 25}],
    "services": []})");
  int network = 0;
  for (const std::string name : {"orders", "members"}) {
    nlohmann::json service{{"name", name}, {"pool", "ledger"}, {"sites", {"portmore"}}};
    const std::string prefix = "127.0.0." + std::to_string(++network) + ":";
    for (int i = 1; i <= 3; ++i) {
      service["endpoints"].push_back({{"name", name + "-" + std::to_string(i)},
                                      {"address", prefix + std::to_string(i)},
                                      {"failure_domain", i == 3 ? "fd-b" : "fd-a"}});
    }
    base["services"].push_back(service);
  }
  return base;
}

}  // namespace poplarmoor
