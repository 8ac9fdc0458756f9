#include "net/http_server.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <map>
#include <mutex>
#include <vector>

#include "kernel/admission/buffer_budget.h"
#include "net/address.h"
#include "net/http_message.h"
#include "net/strand.h"
#include "telemetry/close_reporter.h"

namespace poplarmoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {
// Size of the read buffer of an idle connection, in bytes. Most connections are idle, so the memory
// for larger buffers would cost more than the second read that a request above this size needs.
constexpr size_t kIdleBuffer = 512;

// Largest number of bytes of a refused request that the server reads and discards before it closes
// the connection.
constexpr size_t kMaxDrain = 16 << 20;
// Longest time for which the server reads and discards the rest of a refused request.
constexpr std::chrono::seconds kDrainTimeout{2};

// Bytes that a request takes while it is handled, as a multiple of its body: the body itself, its
// parsed form, and the encoded statement for an endpoint or another daemon.
constexpr size_t kHandlingCopies = 4;
}  // namespace

struct HttpServer::ConnectionTable {
  using Clock = std::chrono::steady_clock;
  static constexpr Clock::rep kNotWaiting = std::numeric_limits<Clock::rep>::max();

  struct Connection {
    beast::tcp_stream* stream = nullptr;
    bool idle = true;
    // Since when the server waits for bytes of the client; the largest time while it does not. Read
    // by EvictWaiting() on other strands.
    std::atomic<Clock::rep> waiting_since{kNotWaiting};
    bool evicted = false;  // Guarded by the table's mutex.

    void StartWaiting() { this->waiting_since = Clock::now().time_since_epoch().count(); }
    void StopWaiting() { this->waiting_since = kNotWaiting; }
  };
  std::mutex mutex;
  std::map<ConnectionId, std::shared_ptr<Connection>> connections;
};

HttpServer::HttpServer(asio::any_io_executor executor, Handler handler, HttpServerOptions options)
    : executor(executor),
      handler(std::move(handler)),
      options(options),
      acceptor(executor),
      connection_table(std::make_shared<ConnectionTable>()) {}

void HttpServer::SetCloseHandler(CloseHandler handler) {
  this->close_handler = std::move(handler);
}

void HttpServer::Listen(const std::string& address) {
  const tcp::endpoint endpoint = ParseAddress(address);
  try {
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen(4096);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot listen on " + address + ": " + error.code().message());
  }
  asio::co_spawn(
      this->executor, [self = this->shared_from_this()] { return self->Accept(); }, asio::detached);
}

std::string HttpServer::address() const {
  return FormatAddress(this->acceptor.local_endpoint());
}

void HttpServer::Stop() {
  this->stopping = true;
  asio::post(this->executor, [self = this->shared_from_this()] {
    boost::system::error_code ignored;
    self->acceptor.close(ignored);
  });
  std::lock_guard lock(this->connection_table->mutex);
  for (auto& [id, connection] : this->connection_table->connections) {
    asio::post(connection->stream->get_executor(), [connection = connection] {
      if (connection->idle && connection->stream != nullptr) {
        connection->stream->cancel();
      }
    });
  }
}

asio::awaitable<void> HttpServer::Accept() {
  while (!this->stopping) {
    boost::system::error_code error;
    tcp::socket socket(MakeStrand(this->executor));
    co_await this->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
      co_return;
    }
    if (error) {
      // The process has probably run out of file descriptors. Waits before the next attempt, to
      // avoid a busy loop.
      asio::steady_timer timer(this->executor, std::chrono::milliseconds(20));
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    if (this->options.max_connections > 0 &&
        this->open_connections >= static_cast<int>(this->options.max_connections)) {
      this->Report(CloseReason::kTooManyConnections, socket);
      if (!this->EvictWaiting()) {
        continue;  // The destructor of `socket` closes the connection.
      }
    }
    ++this->open_connections;
    socket.set_option(tcp::no_delay(true), error);
    const auto strand = socket.get_executor();
    asio::co_spawn(
        strand,
        [self = this->shared_from_this(), socket = std::move(socket)]() mutable {
          return self->Serve(std::move(socket));
        },
        asio::detached);
  }
}

bool HttpServer::EvictWaiting() {
  std::lock_guard lock(this->connection_table->mutex);
  std::shared_ptr<ConnectionTable::Connection> longest;
  for (const auto& [id, connection] : this->connection_table->connections) {
    const bool waits_longer =
        !connection->evicted &&
        connection->waiting_since <
            (longest == nullptr ? ConnectionTable::kNotWaiting : longest->waiting_since.load());
    if (waits_longer) {
      longest = connection;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  longest->evicted = true;
  asio::post(longest->stream->get_executor(), [longest] {
    if (longest->stream != nullptr && longest->waiting_since != ConnectionTable::kNotWaiting) {
      longest->stream->cancel();
    }
  });
  return true;
}

void HttpServer::Report(CloseReason reason, const tcp::socket& socket) const {
  if (this->options.closes == nullptr) {
    return;
  }
  boost::system::error_code error;
  const tcp::endpoint client = socket.remote_endpoint(error);
  this->options.closes->Report(this->options.name, reason, error ? "" : FormatAddress(client));
}

asio::awaitable<HttpResponse> HttpServer::Answer(HttpRequest request, ConnectionId id) {
  try {
    co_return co_await this->handler(std::move(request), id);
  } catch (const std::exception& error) {
    HttpResponse response;
    response.status = 500;
    response.body = R"({"error":{"reason":"internal","message":"internal error"}})";
    co_return response;
  }
}

namespace {

bool IsTooLarge(const boost::system::error_code& error) {
  return error == http::error::body_limit || error == http::error::header_limit;
}

HttpResponse MakeProtocolError(const boost::system::error_code& error) {
  HttpResponse response;
  const bool too_large = IsTooLarge(error);
  response.status = too_large ? 413 : 400;
  response.close = true;
  response.body =
      too_large
          ? R"({"error":{"reason":"bad_request","field":"body","message":"request is too large"}})"
          : R"({"error":{"reason":"bad_request","message":"malformed HTTP request"}})";
  return response;
}

HttpResponse MakeOverloadedError() {
  HttpResponse response;
  response.status = 429;
  response.close = true;
  response.headers["retry-after"] = "1";
  response.body = R"({"error":{"reason":"overloaded",)"
                  R"("message":"the daemon buffers too many bytes for all its clients"}})";
  return response;
}

bool IsProtocolError(const boost::system::error_code& error) {
  return error && error.category() == make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

HttpRequest ToRequest(http::request<http::string_body>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    std::string name(field.name_string());
    for (char& letter : name) {
      letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    request.headers[name] = std::string(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

asio::awaitable<boost::system::error_code> Write(beast::tcp_stream& stream,
                                                 HttpResponse answer,
                                                 unsigned version,
                                                 bool keep_alive,
                                                 std::chrono::milliseconds timeout) {
  http::response<http::string_body> message{static_cast<http::status>(answer.status), version};
  message.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : answer.headers) {
    message.set(name, value);
  }
  message.body() = std::move(answer.body);
  message.keep_alive(keep_alive);
  message.prepare_payload();
  stream.expires_after(timeout);
  boost::system::error_code error;
  co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}

// Reads and discards the rest of a refused request. Closing the socket while it has unread data
// would reset the connection, and the client would lose the response.
asio::awaitable<void> Drain(beast::tcp_stream& stream) {
  boost::system::error_code error;
  stream.socket().shutdown(tcp::socket::shutdown_send, error);
  stream.expires_after(kDrainTimeout);
  std::vector<char> rest(16 << 10);
  size_t total = 0;
  while (!error && total < kMaxDrain) {
    total += co_await stream.async_read_some(asio::buffer(rest),
                                             asio::redirect_error(asio::use_awaitable, error));
  }
}

}  // namespace

asio::awaitable<void> HttpServer::Serve(tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  const ConnectionId id = this->next_id++;
  const auto connection = std::make_shared<ConnectionTable::Connection>();
  connection->stream = &stream;
  {
    std::lock_guard lock(this->connection_table->mutex);
    this->connection_table->connections[id] = connection;
  }
  BufferShare share(this->options.budget);
  beast::flat_buffer buffer;
  boost::system::error_code error;
  while (!this->stopping) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(this->options.max_body);
    parser.header_limit(static_cast<uint32_t>(this->options.max_header));
    parser.eager(true);
    connection->idle = true;
    connection->StartWaiting();
    share.Resize(buffer.size());
    if (buffer.size() == 0) {
      if (buffer.capacity() > kIdleBuffer) {
        buffer = beast::flat_buffer();
      }
      stream.expires_after(this->options.idle_timeout);
      const size_t count = co_await stream.async_read_some(
          buffer.prepare(kIdleBuffer), asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        break;
      }
      buffer.commit(count);
    }
    connection->idle = false;
    stream.expires_after(this->options.read_timeout);
    bool in_budget = true;
    while (!error && in_budget && !parser.is_done()) {
      co_await http::async_read_some(stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
      const size_t copies = parser.is_done() ? kHandlingCopies : 1;
      in_budget = share.Resize(buffer.size() + copies * parser.get().body().size());
    }
    connection->StopWaiting();
    if (!error && !in_budget) {
      this->Report(CloseReason::kBufferBudget, stream.socket());
      parser.get().body() = std::string();
      share.Resize(0);
      co_await Write(stream, MakeOverloadedError(), 11, false, this->options.read_timeout);
      co_await Drain(stream);
      break;
    }
    if (error == beast::error::timeout) {
      this->Report(CloseReason::kReadTimeout, stream.socket());
    }
    if (IsProtocolError(error)) {
      if (IsTooLarge(error)) {
        this->Report(CloseReason::kTooLarge, stream.socket());
      }
      co_await Write(stream, MakeProtocolError(error), 11, false, this->options.read_timeout);
      co_await Drain(stream);
      break;
    }
    if (error) {
      break;
    }
    auto message = parser.release();
    const bool keep_alive = message.keep_alive();
    const unsigned version = message.version();
    stream.expires_never();
    ++this->active_requests;
    HttpResponse answer = co_await this->Answer(ToRequest(message), id);
    const bool close = answer.close || !keep_alive || this->stopping;
    bool drop = answer.drop;
    if (!drop && !share.Resize(buffer.size() + answer.body.size())) {
      this->Report(CloseReason::kBufferBudget, stream.socket());
      drop = true;
    }
    if (!drop) {
      error =
          co_await Write(stream, std::move(answer), version, !close, this->options.read_timeout);
    }
    --this->active_requests;
    if (error == beast::error::timeout) {
      this->Report(CloseReason::kWriteTimeout, stream.socket());
    }
    if (error || close || drop) {
      break;
    }
  }
  boost::system::error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream.close();
  {
    std::lock_guard lock(this->connection_table->mutex);
    this->connection_table->connections.erase(id);
  }
  connection->stream = nullptr;
  --this->open_connections;
  if (this->close_handler) {
    this->close_handler(id);
  }
}

}  // namespace poplarmoor
