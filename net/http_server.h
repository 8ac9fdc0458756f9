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

class BufferBudget;
class CloseReporter;
enum class CloseReason;
struct HttpRequest;
struct HttpResponse;

/// Identifies a connection of an HttpServer; an id is never reused.
using ConnectionId = uint64_t;

/// Limits of an HttpServer.
struct HttpServerOptions {
  size_t max_body = 1 << 20;     // Largest body of a request, in bytes.
  size_t max_header = 16 << 10;  // Largest header of a request, in bytes.
  // The server closes a connection on which no request starts for this time.
  std::chrono::milliseconds idle_timeout{600000};
  // Time limit for reading a request, from its first to its last byte. The same limit applies again
  // to writing the response.
  std::chrono::milliseconds read_timeout{10000};
  // Largest number of open connections; 0: no limit. Beyond it, a new connection takes the place of
  // the one that has waited longest for its client, or is closed when all are serving a request.
  size_t max_connections = 0;
  std::string name = "http";        // Name of the listener in logs and metrics.
  BufferBudget* budget = nullptr;   // Limits the bytes of all requests and responses; may be null.
  CloseReporter* closes = nullptr;  // Counts connections closed because of a limit; may be null.
};

/// HTTP/1.1 server on Asio coroutines. Each connection runs on its own strand.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest, ConnectionId)>;
  using CloseHandler = std::function<void(ConnectionId)>;

  /// @param executor Executor of the I/O threads.
  /// @param handler Returns the response to a request. When the handler throws an exception, the
  ///     client gets status 500.
  /// @param options Limits on requests and connections.
  HttpServer(boost::asio::any_io_executor executor,
             Handler handler,
             HttpServerOptions options = {});

  /// Sets the function that is called when a connection has been closed.
  /// @param handler Called once for each connection, after it was closed by either side.
  void SetCloseHandler(CloseHandler handler);

  /// Starts accepting connections.
  /// @param address Address to listen on, "IP:port"; with port 0 the system selects a free port.
  /// @throws std::runtime_error when the address is malformed or in use.
  void Listen(const std::string& address);

  /// @returns The address that the server listens on, "IP:port".
  std::string address() const;

  /// Stops accepting connections. Closes idle connections immediately, and the others when
  /// the response to their current request has been sent.
  void Stop();

  /// @returns Number of requests that were read whole and whose response is not written yet.
  int in_flight() const { return this->active_requests.load(); }

  /// @returns Number of open connections.
  int connections() const { return this->open_connections.load(); }

 private:
  struct ConnectionTable;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<HttpResponse> Answer(HttpRequest request, ConnectionId id);
  // Closes the connection that has waited longest for its client. Returns false if none waits.
  bool EvictWaiting();
  void Report(CloseReason reason, const boost::asio::ip::tcp::socket& socket) const;

  boost::asio::any_io_executor executor;
  Handler handler;
  CloseHandler close_handler;
  HttpServerOptions options;
  boost::asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> stopping{false};
  std::atomic<int> active_requests{0};
  std::atomic<int> open_connections{0};
  std::atomic<ConnectionId> next_id{1};
  // The open connections, so that Stop() can close the idle ones.
  std::shared_ptr<ConnectionTable> connection_table;
};

}  // namespace poplarmoor
