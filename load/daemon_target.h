#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "load/load_target.h"
#include "net/http_client.h"

namespace poplarmoor {

/// Sends calls to the daemons. Each call goes to a random daemon, so that a session uses many
/// daemons. Daemons that fail their health check are tried last, to imitate the platform's load
/// balancer.
class DaemonTarget : public LoadTarget {
 public:
  /// @param context I/O context of the load tool.
  /// @param daemons Addresses of the callers' listeners, "IP:port".
  /// @param max_idle Maximum number of idle connections kept open to each daemon.
  /// @param seed Seed of the random choice of daemons.
  DaemonTarget(boost::asio::io_context& context,
               std::vector<std::string> daemons,
               size_t max_idle,
               uint64_t seed);

  boost::asio::awaitable<CallOutcome> Call(LoadCall call, LoadSession& session) override;

 private:
  boost::asio::awaitable<void> CheckHealth(std::string daemon);
  std::vector<std::string> OrderDaemons();

  boost::asio::io_context& context;
  std::vector<std::string> daemons;
  std::map<std::string, bool> healthy;
  HttpClient client;
  HttpClient health_client;
  std::mt19937_64 random;
};

}  // namespace poplarmoor
