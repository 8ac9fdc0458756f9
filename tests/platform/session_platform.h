#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/fake_line_endpoint.h"
#include "tests/platform/memory_store.h"

namespace poplarmoor {
class HttpServer;
struct HttpRequest;
struct HttpResponse;
}  // namespace poplarmoor

namespace poplarmoor::platform {

/// Platform of one session daemon that runs as a process: object store and a group of three
/// endpoints, on a thread of its own. The database "orders" is read and written at the primary.
class SessionPlatform {
 public:
  SessionPlatform();
  ~SessionPlatform();

  /// Addresses of the daemon's listeners, "IP:port".
  struct Listeners {
    std::string callers;
    std::string readiness;
    std::string peers;
    std::string metrics;
  };

  /// @returns Settings file of a daemon with these listeners.
  /// @param memory_mb Memory of the daemon's VM, in MB.
  /// @param max_descriptors Limit of the daemon's open descriptors.
  std::string MakeSettings(const Listeners& listeners, int memory_mb, size_t max_descriptors) const;

  /// Sets whether the endpoints answer statements that contain "unanswered".
  void SetAnswering(bool answering);

 private:
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);
  void Publish(const std::string& kind, const std::string& name, const std::string& value);

  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
  MemoryStore store;
  FakeGroup group;
  std::vector<std::unique_ptr<FakeLineEndpoint>> endpoints;
  std::shared_ptr<HttpServer> server;
  std::thread thread;
};

}  // namespace poplarmoor::platform
