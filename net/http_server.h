#pragma once

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace poplarmoor {

struct HttpRequest;
struct HttpResponse;

/// Identifies a connection of an HttpServer; an id is never reused.
using ConnectionId = uint64_t;

/// Limits of an HttpServer.
struct HttpServerOptions {
  size_t max_body = 1 << 20;                       // Bytes.
  size_t max_header = 16 << 10;                    // Bytes.
  std::chrono::milliseconds idle_timeout{600000};  // Longest time between two requests.
  std::chrono::milliseconds read_timeout{10000};   // Limit from first to last byte of a request.
};

/// HTTP/1.1 server on Asio coroutines. Each connection runs on its own strand.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest, ConnectionId)>;
  using CloseHandler = std::function<void(ConnectionId)>;

  /// @param executor Executor of the I/O threads.
  /// @param handler Answers a request. An exception it throws becomes status 500.
  /// @param options Limits.
  HttpServer(boost::asio::any_io_executor executor,
             Handler handler,
             HttpServerOptions options = {});

  /// Sets the handler of closed connections.
  /// @param handler Called once for each connection, after it has ended.
  void SetCloseHandler(CloseHandler handler);

  /// Starts accepting connections.
  /// @param address "IP:port"; port 0 selects a free port.
  /// @throws std::runtime_error when the address is malformed or in use.
  void Listen(const std::string& address);

  /// @returns The address that the server listens on, "IP:port".
  std::string address() const;

  /// Stops accepting and closes each connection after its current request.
  void Stop();

  /// @returns Number of requests that are not answered yet.
  int in_flight() const { return this->active_requests.load(); }

  /// @returns Number of open connections.
  int connections() const { return this->open_connections.load(); }

 private:
  struct ConnectionTable;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<HttpResponse> Answer(HttpRequest request, ConnectionId id);

  boost::asio::any_io_executor executor;
  Handler handler;
  CloseHandler close_handler;
  HttpServerOptions options;
  boost::asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> stopping{false};
  std::atomic<int> active_requests{0};
  std::atomic<int> open_connections{0};
  std::atomic<ConnectionId> next_id{1};
  std::shared_ptr<ConnectionTable> connection_table;  // Open connections; Stop() wakes idle ones.
};

}  // namespace poplarmoor
