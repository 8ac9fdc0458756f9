#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "cli/io_runner.h"
#include "net/http_client.h"

namespace poplarmoor {

/// Answer of one daemon.
struct DaemonAnswer {
  std::string address;
  unsigned status = 0;  // HTTP status; 0: no answer.
  std::string body;
  std::string error;  // Why there is no answer.
  bool sent = false;  // With no answer: the request may have reached the daemon.
};

/// Client of the daemons' operators' API.
class OperatorsClient {
 public:
  /// @param daemons Operators' listeners.
  /// @param token Bearer token; never printed.
  /// @param timeout Time limit of a call.
  OperatorsClient(std::vector<std::string> daemons,
                  std::string token,
                  std::chrono::milliseconds timeout);

  /// Asks all daemons at once.
  /// @param target Path.
  /// @returns Their answers in the order of the daemons.
  std::vector<DaemonAnswer> AskAll(const std::string& target);

  /// Asks one daemon after the other until one has received the request.
  /// @param method HTTP method.
  /// @param target Path.
  /// @param body JSON text.
  /// @returns The answer.
  /// @throws CommandError when no daemon is reachable.
  DaemonAnswer AskAny(const std::string& method, const std::string& target, std::string body = "");

 private:
  boost::asio::awaitable<DaemonAnswer> Ask(std::string address,
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
