#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace poplarmoor {

class HttpConnection;
struct HttpRequest;
struct HttpResponse;
struct TrafficCounter;

/// HTTP client that keeps idle connections for reuse. Safe to use from several threads.
class HttpClient {
 public:
  /// @param executor Executor of the I/O threads.
  /// @param max_idle Largest number of idle connections that are kept for each server address.
  /// @param traffic Counts the bytes of all requests and responses; null: they are not counted.
  explicit HttpClient(boost::asio::any_io_executor executor,
                      size_t max_idle = 8,
                      std::shared_ptr<TrafficCounter> traffic = nullptr);
  ~HttpClient();

  /// Sends a request over an idle connection, or over a new one when there is no idle connection. A
  /// GET request that fails on a reused connection before the time limit is retried once on a new
  /// connection. The server may have closed the reused one, for example. Requests with other
  /// methods are not retried, because the server may already have run them.
  /// @param address Address of the server, "IP:port".
  /// @param request Request to send.
  /// @param timeout Time limit that each attempt has for connecting, and again for the time from
  ///     sending the request to the end of the response.
  /// @returns The response, whatever its status is.
  /// @throws HttpError when no valid response arrives.
  boost::asio::awaitable<HttpResponse> Send(std::string address,
                                            HttpRequest request,
                                            std::chrono::milliseconds timeout);

 private:
  std::unique_ptr<HttpConnection> TakeIdle(const std::string& address);
  void KeepIdle(const std::string& address, std::unique_ptr<HttpConnection> connection);

  boost::asio::any_io_executor executor;
  size_t max_idle;
  std::shared_ptr<TrafficCounter> traffic;
  std::mutex mutex;
  std::map<std::string, std::vector<std::unique_ptr<HttpConnection>>> idle;
};

}  // namespace poplarmoor
