#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace poplarmoor {

class HttpConnection;

/// Connections that are held open without requests, like most connections of real clients.
class IdleConnections {
 public:
  /// @param context I/O context of the load tool.
  explicit IdleConnections(boost::asio::io_context& context);
  ~IdleConnections();

  /// Opens connections and sends one health check over each.
  /// @param addresses Addresses of the listeners, used in turn.
  /// @param count Total number of connections to try; connections that cannot be opened are left
  /// out.
  boost::asio::awaitable<void> Open(std::vector<std::string> addresses, int count);

  /// @returns The number of connections that were opened.
  int opened() const { return static_cast<int>(this->connections.size()); }

  /// @returns The number of connections that Open() opened and that the peer has closed since then.
  int CountLost() const;

 private:
  boost::asio::io_context& context;
  std::vector<std::unique_ptr<HttpConnection>> connections;
};

}  // namespace poplarmoor
