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
  /// @param message What failed, with the address.
  /// @param sent Whether any byte of the request may have reached the peer.
  /// @param timeout Whether the time limit passed.
  HttpError(const std::string& message, bool sent, bool timeout)
      : std::runtime_error(message), sent(sent), timeout(timeout) {}

  bool sent = false;
  bool timeout = false;
};

/// HTTP/1.1 client connection with keep-alive that sends one request at a time.
class HttpConnection {
 public:
  /// @param executor Executor of the connection; a strand when several threads run it.
  /// @param address "IP:port".
  HttpConnection(boost::asio::any_io_executor executor, std::string address);
  ~HttpConnection();

  /// Opens the connection.
  /// @param timeout Time limit.
  /// @throws HttpError with sent == false when the connection cannot be opened.
  boost::asio::awaitable<void> Connect(std::chrono::milliseconds timeout);

  /// Sends one request and reads its answer. After an error the connection is closed, so that a
  /// late answer cannot reach a later request.
  /// @param request Request; the Host header is added.
  /// @param timeout Time limit of the whole exchange.
  /// @returns The response.
  /// @throws HttpError when no valid response arrived in time.
  boost::asio::awaitable<HttpResponse> Exchange(const HttpRequest& request,
                                                std::chrono::milliseconds timeout);

  /// @returns Whether this side has the connection open. A close by the peer is not noticed before
  ///     the next exchange; see IsReusable().
  bool is_open() const;

  /// Checks whether the peer has closed the connection since the last exchange.
  /// @returns Whether a request may be sent over the connection.
  bool IsReusable();

  void Close();

  /// @param traffic Counts the bytes of later exchanges; null turns counting off.
  void CountTraffic(std::shared_ptr<TrafficCounter> traffic);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace poplarmoor
