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
  /// @param max_idle Largest number of idle connections that are kept for each address.
  /// @param traffic Counts the bytes of all exchanges; may be null.
  explicit HttpClient(boost::asio::any_io_executor executor,
                      size_t max_idle = 8,
                      std::shared_ptr<TrafficCounter> traffic = nullptr);
  ~HttpClient();

  /// Sends a request over an idle or a new connection. When the exchange over an idle connection
  /// fails before its time limit, for example because the peer has closed the connection, a GET is
  /// retried once on a new connection. Other requests are not retried: they may already have run.
  /// @param address "IP:port".
  /// @param request Request.
  /// @param timeout Time limit of connecting and of the exchange, each.
  /// @returns The response, of any status.
  /// @throws HttpError when there is no response.
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
