#pragma once

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/http_message.h"

namespace poplarmoor {

class ClusterOperations;
class ClusterView;
class EntryService;
class OwnerService;
struct Telemetry;

/// Parts of the daemon that the operators' API reports on or calls, and the API's bearer token.
struct OperatorsApiDependencies {
  std::string daemon;
  std::string failure_domain;
  std::string token;  // Bearer token that every request must carry.
  ClusterView* view = nullptr;
  ClusterOperations* cluster = nullptr;
  std::shared_ptr<EntryService> entry;
  std::shared_ptr<OwnerService> owner;
  Telemetry* telemetry = nullptr;

  // Returns the bytes of control traffic that the daemon has sent and received, in this order.
  std::function<std::pair<uint64_t, uint64_t>()> control_traffic;
};

/// HTTP API through which operators read status, metrics and traces, drain endpoints, and start
/// promotions; section 11 of the design describes it. Thread-safe.
class OperatorsApi : public std::enable_shared_from_this<OperatorsApi> {
 public:
  /// @param dependencies Parts of the daemon to use; pointees must outlive this object.
  explicit OperatorsApi(OperatorsApiDependencies dependencies);

  /// Answers one request of an operator.
  /// @param request HTTP request.
  /// @returns The response; its status is 401 when the request lacks the bearer token.
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  bool IsAuthorized(const HttpRequest& request) const;
  boost::asio::awaitable<HttpResponse> Post(std::string path, std::string body);
  HttpResponse Get(const std::string& path) const;
  std::string StatusJson() const;
  std::string ServicesJson() const;
  std::string EndpointsJson() const;
  std::string MembersJson() const;
  std::string MetricsText() const;
  size_t CountLiveMembers() const;
  void UpdateTraffic() const;

  OperatorsApiDependencies dependencies;
  // Bytes of control traffic that have been added to the metrics so far.
  mutable std::atomic<uint64_t> reported_sent{0};
  mutable std::atomic<uint64_t> reported_received{0};
  std::chrono::steady_clock::time_point started;
};

}  // namespace poplarmoor
