#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "load/load_target.h"

namespace poplarmoor {

class HttpConnection;

/// Sends calls directly to the primaries over a pool of connections. Measurements
/// with the proxy are compared with those that this class gives without it. A statement that the
/// primary refuses is retried until the call's deadline; ranks are ignored. A write counts as
/// acknowledged when the primary has run it, without confirmation by a replica.
class DirectTarget : public LoadTarget {
 public:
  /// @param context I/O context of the load tool.
  /// @param endpoints Addresses of the endpoints, by service.
  /// @param connections Maximum number of data connections to each primary.
  DirectTarget(boost::asio::io_context& context,
               const std::map<std::string, std::vector<std::string>>& endpoints,
               int connections);
  ~DirectTarget() override;

  boost::asio::awaitable<CallOutcome> Call(LoadCall call, LoadSession& session) override;

 private:
  using Json = nlohmann::json;

  struct Service {
    std::vector<std::string> endpoints;
    std::string primary;  // Address of the primary; empty if unknown.
    uint64_t term = 0;
    int open = 0;  // Number of open data connections to the primary, idle or in use.
    std::vector<std::unique_ptr<HttpConnection>> idle;
  };

  boost::asio::awaitable<void> FindPrimary(Service& service);
  boost::asio::awaitable<bool> TakeConnection(Service& service, LoadSession& session);
  boost::asio::awaitable<CallOutcome> Attempt(Service& service,
                                              const LoadCall& call,
                                              LoadSession& session);
  void Release(Service& service, LoadSession& session);

  boost::asio::io_context& context;
  std::map<std::string, Service> services;
  int connections;
};

}  // namespace poplarmoor
