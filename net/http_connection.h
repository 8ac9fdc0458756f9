#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>

namespace poplarmoor {

struct HttpRequest;
struct HttpResponse;
struct TrafficCounter;

/// Failure of an exchange over an HttpConnection.
class HttpError : public std::runtime_error {
 public:
  /// @param message What failed, with the address of the server.
  /// @param sent Whether any byte of the request may have reached the server.
  /// @param timeout Whether the exchange failed because its time limit passed.
  HttpError(const std::string& message, bool sent, bool timeout)
      : std::runtime_error(message), sent(sent), timeout(timeout) {}

  bool sent = false;
  bool timeout = false;
};

/// Client side of an HTTP/1.1 connection. It sends one request at a time and stays open for further
/// requests.
class HttpConnection {
 public:
  /// @param executor Executor that runs the connection's handlers; must be a strand when several
  ///     threads run the executor.
  /// @param address Address of the server, "IP:port".
  HttpConnection(boost::asio::any_io_executor executor, std::string address);
  ~HttpConnection();

  /// Opens the connection.
  /// @param timeout Time limit for connecting.
  /// @throws HttpError with sent == false when the connection cannot be opened.
  boost::asio::awaitable<void> Connect(std::chrono::milliseconds timeout);

  /// Sends one request and reads the response to it. Closes the connection after an error, so that
  /// a late response is not taken for the response to a later request.
  /// @param request Request to send; this function adds the Host header.
  /// @param timeout Time limit from sending the request to the end of the response.
  /// @returns The server's response.
  /// @throws HttpError when no valid response arrived in time.
  boost::asio::awaitable<HttpResponse> Exchange(const HttpRequest& request,
                                                std::chrono::milliseconds timeout);

  /// @returns Whether this side has the connection open. Stays true when the server closes the
  ///     connection, until the next exchange fails; IsReusable() detects that earlier.
  bool is_open() const;

  /// Checks whether another request may be sent over the connection.
  /// @returns False when either side has closed the connection, or when the server has sent bytes
  ///     since the last exchange.
  bool IsReusable();

  void Close();

  /// @param traffic Counts the bytes of the following exchanges; null turns counting off.
  void CountTraffic(std::shared_ptr<TrafficCounter> traffic);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace poplarmoor
