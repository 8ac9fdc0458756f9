#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "standins/platform_options.h"
#include "standins/signal.h"
#include "standins/standin_server.h"

namespace poplarmoor {

class ObjectStore;

/// Stand-in for the platform. Its protocol is in section 11 of the design page, "Platform".
class PlatformServer : public StandinServer {
 public:
  explicit PlatformServer(PlatformOptions options = {});
  ~PlatformServer() override;

  /// Loads objects and VMs. Must be called before Start().
  /// @param json JSON text {"objects":[{kind, name, value}], "vms":[{name, role, ...}]}.
  /// @throws nlohmann::json::exception when a field is missing.
  void Seed(const std::string& json);

 private:
  using Json = nlohmann::json;
  using Clock = std::chrono::steady_clock;

  // Token bucket that limits the rate of calls.
  struct Bucket {
    double level = 0;  // Number of tokens left.
    Clock::time_point refilled_at;

    // Takes one token. Returns false if none is left. `rate` is both the number of tokens that are
    // added per second and the maximum number of tokens.
    bool Take(int rate);
  };

  struct VmChange {
    Clock::time_point at;  // Time of the change.
    std::string vm;        // JSON text of the VM after the change.
  };

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request, ConnectionId id) override;
  boost::asio::awaitable<HttpResponse> HandleCall(HttpRequest request);
  boost::asio::awaitable<HttpResponse> Watch(std::string kind, std::string target);
  HttpResponse Put(const std::string& kind, const std::string& name, const Json& request);
  HttpResponse Get(const std::string& path) const;
  HttpResponse HandleControl(const HttpRequest& request);
  Json ListVms() const;
  bool ConsumeLostAnswer();

  PlatformOptions options;
  std::unique_ptr<ObjectStore> store;
  std::map<std::string, std::vector<VmChange>> vms;  // Changes by VM name, oldest first.
  Signal changed;
  bool down = false;
  int slow_ms = 0;
  // The next `answers_to_lose` updates are processed but get no answer; -1: all updates.
  int64_t answers_to_lose = 0;
  Bucket read_bucket;
  Bucket write_bucket;
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
  uint64_t limited = 0;  // Number of calls answered with status 429.
};

}  // namespace poplarmoor
