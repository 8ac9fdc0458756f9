#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace poplarmoor {

class HttpConnection;

/// Connections that are held open without requests, as most client connections are.
class IdleConnections {
 public:
  /// @param context I/O context of the tool.
  explicit IdleConnections(boost::asio::io_context& context);
  ~IdleConnections();

  /// Opens connections and sends one health check over each.
  /// @param addresses Listeners, used in turn.
  /// @param count Connections in total; those that cannot be opened are left out.
  boost::asio::awaitable<void> Open(std::vector<std::string> addresses, int count);

  /// @returns Connections that were opened.
  int opened() const { return static_cast<int>(this->connections.size()); }

  /// @returns Connections that the peer has closed since.
  int CountLost() const;

 private:
  boost::asio::io_context& context;
  std::vector<std::unique_ptr<HttpConnection>> connections;
};

}  // namespace poplarmoor
