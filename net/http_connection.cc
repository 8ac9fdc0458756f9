#include "net/http_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>

#include "net/address.h"
#include "net/http_message.h"
#include "net/traffic_counter.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {
// Size limit of a response body in bytes. The largest response is the whole log of a simulated
// database server (standins/).
constexpr size_t kMaxResponse = 64 << 20;
// TCP keep-alive detects a dead connection within 3 s, also while a long poll waits for its answer.
constexpr int kKeepAliveIdle = 1;      // Seconds without traffic before the first keep-alive probe.
constexpr int kKeepAliveInterval = 1;  // Seconds between two keep-alive probes.
constexpr int kKeepAliveProbes = 2;    // Unanswered probes after which TCP ends the connection.

void EnableKeepAlive(int socket) {
  const int on = 1;
  const bool enabled =
      ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on)) == 0 &&
      ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdle, sizeof(int)) == 0 &&
      ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveInterval, sizeof(int)) == 0 &&
      ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(int)) == 0;
  if (!enabled) {
    Log(LogLevel::kWarn, "cannot enable TCP keep-alive probes", {{"errno", errno}});
  }
}

}  // namespace

struct HttpConnection::Impl {
  Impl(asio::any_io_executor executor, std::string address)
      : address(std::move(address)), stream(executor) {}

  [[noreturn]] void Fail(const std::string& step,
                         const boost::system::error_code& error,
                         bool sent) {
    this->open = false;
    this->stream.close();
    throw HttpError(step + " " + this->address + ": " + error.message(), sent,
                    error == beast::error::timeout);
  }

  std::string address;
  std::shared_ptr<TrafficCounter> traffic;
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool open = false;
};

HttpConnection::HttpConnection(asio::any_io_executor executor, std::string address)
    : impl(std::make_unique<Impl>(executor, std::move(address))) {}

HttpConnection::~HttpConnection() = default;

asio::awaitable<void> HttpConnection::Connect(std::chrono::milliseconds timeout) {
  const auto endpoint = ParseAddress(this->impl->address);
  boost::system::error_code error;
  this->impl->stream.expires_after(timeout);
  co_await this->impl->stream.async_connect(endpoint,
                                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    this->impl->Fail("cannot connect to", error, false);
  }
  this->impl->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  EnableKeepAlive(this->impl->stream.socket().native_handle());
  this->impl->buffer.clear();
  this->impl->open = true;
}

asio::awaitable<HttpResponse> HttpConnection::Exchange(const HttpRequest& request,
                                                       std::chrono::milliseconds timeout) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, this->impl->address);
  message.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : request.headers) {
    message.set(name, value);
  }
  message.body() = request.body;
  message.prepare_payload();

  boost::system::error_code error;
  this->impl->stream.expires_after(timeout);
  const size_t written = co_await http::async_write(
      this->impl->stream, message, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    this->impl->Fail("cannot send to", error, true);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponse);
  const size_t read = co_await http::async_read(this->impl->stream, this->impl->buffer, parser,
                                                asio::redirect_error(asio::use_awaitable, error));
  if (this->impl->traffic != nullptr) {
    this->impl->traffic->sent += written;
    this->impl->traffic->received += read;
  }
  if (error) {
    this->impl->Fail("no answer from", error, true);
  }
  auto answer = parser.release();
  HttpResponse response;
  response.status = answer.result_int();
  for (const auto& field : answer) {
    std::string name(field.name_string());
    for (char& letter : name) {
      letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    response.headers[name] = std::string(field.value());
  }
  response.body = std::move(answer.body());
  if (!answer.keep_alive()) {
    response.close = true;
    this->Close();
  }
  co_return response;
}

void HttpConnection::CountTraffic(std::shared_ptr<TrafficCounter> traffic) {
  this->impl->traffic = std::move(traffic);
}

bool HttpConnection::is_open() const {
  return this->impl->open;
}

bool HttpConnection::IsReusable() {
  if (!this->impl->open) {
    return false;
  }
  // A reusable connection has nothing to read: a byte would be an unsolicited response, and end of
  // stream means that the peer has closed the connection.
  char byte = 0;
  const ssize_t count = ::recv(this->impl->stream.socket().native_handle(), &byte, sizeof(byte),
                               MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::Close() {
  this->impl->open = false;
  this->impl->stream.close();
}

}  // namespace poplarmoor
