#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "cli/io_runner.h"
#include "net/http_client.h"

namespace poplarmoor {

/// Answer of one daemon to a request, or the reason why there is none.
struct DaemonAnswer {
  std::string address;
  unsigned status = 0;  // HTTP status; 0: no answer.
  std::string body;
  std::string error;  // Reason why there is no answer.
  bool sent = false;  // True if there is no answer but the request may have reached the daemon.
};

/// HTTP client for the operators' API of the daemons.
class OperatorsClient {
 public:
  /// @param daemons Addresses at which daemons serve the operators' API, "IP:port" each.
  /// @param token Bearer token; never printed.
  /// @param timeout Time limit of a call.
  OperatorsClient(std::vector<std::string> daemons,
                  std::string token,
                  std::chrono::milliseconds timeout);

  /// Sends a GET request to all daemons in parallel.
  /// @param target Request path.
  /// @returns One answer for each daemon, in the order of the constructor's list.
  std::vector<DaemonAnswer> GetFromAll(const std::string& target);

  /// Sends a request to one daemon after the other until one answers. A request other than GET is
  /// not sent again once it may have reached a daemon.
  /// @param method HTTP method.
  /// @param target Request path.
  /// @param body Request body as JSON text.
  /// @returns The answer of the first daemon that answers. The status is 0 if a request other than
  ///     GET may have reached a daemon that did not answer.
  /// @throws CommandError when no daemon is reachable.
  DaemonAnswer SendToFirstReachable(const std::string& method,
                                    const std::string& target,
                                    std::string body = "");

 private:
  boost::asio::awaitable<DaemonAnswer> SendRequest(std::string address,
                                                   std::string method,
                                                   std::string target,
                                                   std::string body);

  std::vector<std::string> daemons;
  std::string token;
  std::chrono::milliseconds timeout;
  IoRunner runner;
  HttpClient client;
};

}  // namespace poplarmoor
