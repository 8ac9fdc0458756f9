#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "net/address.h"
#include "net/http_connection.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace poplarmoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono_literals::operator""ms;

/// An HTTP server with a short read timeout, and functions that send it raw bytes.
struct RawFixture {
  RawFixture() {
    HttpServerOptions options;
    options.read_timeout = 200ms;
    this->server = std::make_shared<HttpServer>(
        this->context.get_executor(),
        [](HttpRequest request, ConnectionId) -> asio::awaitable<HttpResponse> {
          HttpResponse response;
          response.body = request.body;
          response.drop = request.target == "/drop";
          co_return response;
        },
        options);
    this->server->Listen("127.0.0.1:0");
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~RawFixture() {
    this->server->Stop();
    this->context.stop();
    this->thread.join();
  }

  tcp::socket Connect() {
    tcp::socket socket(this->client_context);
    socket.connect(ParseAddress(this->server->address()));
    return socket;
  }

  // Sends `bytes` to the server and returns all bytes that the server sends until it closes the
  // connection.
  std::string SendRaw(const std::string& bytes) {
    tcp::socket socket = this->Connect();
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  bool Serves() {
    return this->SendRaw("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        .starts_with("HTTP/1.1 200");
  }

  // Waits until the server has `count` open connections, and returns whether it has. The limit of
  // 20 s is reached only when a test fails.
  bool AwaitConnections(int count) {
    for (int attempt = 0; attempt < 4000 && this->server->connections() != count; ++attempt) {
      std::this_thread::sleep_for(5ms);
    }
    return this->server->connections() == count;
  }

  asio::io_context context{1};
  asio::io_context client_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
  std::shared_ptr<HttpServer> server;
  std::thread thread;
};

TEST_CASE_METHOD(RawFixture, "malformed HTTP requests get status 400 and do not stop the server") {
  for (const char* bytes : {"\r\n\r\n\r\n\r\n", "HELLO\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
                            "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                            "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                            "GET / HTTP/1.1\r\nbad header\r\n\r\n"}) {
    INFO(bytes);
    CHECK(this->SendRaw(bytes).starts_with("HTTP/1.1 400"));
  }
  CHECK(this->Serves());
}

TEST_CASE_METHOD(RawFixture,
                 "the HTTP server answers a request header above the size limit with status 413 "
                 "instead of reading all of it into memory") {
  const std::string header = "GET / HTTP/1.1\r\nX-Long: " + std::string(64 << 10, 'x') + "\r\n\r\n";
  CHECK(this->SendRaw(header).starts_with("HTTP/1.1 413"));
}

TEST_CASE_METHOD(RawFixture,
                 "an HTTP client that sends a body above the size limit gets status 413 instead of "
                 "a connection reset") {
  const std::string body(8 << 20, 'x');
  const std::string request =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  CHECK(this->SendRaw(request).starts_with("HTTP/1.1 413"));
  CHECK(this->Serves());
}

TEST_CASE_METHOD(
    RawFixture,
    "the HTTP server closes a connection at the read timeout when the client has sent only part of "
    "a request") {
  CHECK(this->SendRaw("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf").empty());
  CHECK(this->SendRaw("G").empty());
  CHECK(this->AwaitConnections(0));
  CHECK(this->server->in_flight() == 0);
}

TEST_CASE_METHOD(RawFixture,
                 "pipelined HTTP requests are answered in the order in which they were sent") {
  const std::string first = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nfirst";
  const std::string second =
      "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 6\r\n\r\nsecond";
  const std::string answer = this->SendRaw(first + second);
  const size_t at = answer.find("first");
  REQUIRE(at != std::string::npos);
  CHECK(answer.find("second") > at);
}

TEST_CASE_METHOD(
    RawFixture,
    "when a handler marks its response as dropped, the HTTP server closes the connection "
    "without sending a byte") {
  CHECK(this->SendRaw("GET /drop HTTP/1.1\r\nHost: a\r\n\r\n").empty());
}

TEST_CASE_METHOD(
    RawFixture,
    "an HTTP server with thousands of idle connections still answers requests, and closes its side "
    "of each connection that the client has closed") {
  constexpr int kConnections = 3000;
  std::vector<tcp::socket> sockets;
  for (int i = 0; i < kConnections; ++i) {
    sockets.push_back(this->Connect());
  }
  CHECK(this->AwaitConnections(kConnections));
  CHECK(this->Serves());
  sockets.clear();
  CHECK(this->AwaitConnections(0));
}

TEST_CASE_METHOD(RawFixture,
                 "stopping the HTTP server closes idle connections immediately instead of at the "
                 "idle timeout") {
  const tcp::socket idle = this->Connect();
  REQUIRE(this->AwaitConnections(1));
  this->server->Stop();
  CHECK(this->AwaitConnections(0));
}

TEST_CASE_METHOD(RawFixture,
                 "an HTTP client connection that the server has closed is not reused for another "
                 "request") {
  asio::io_context run;
  HttpConnection connection(run.get_executor(), this->server->address());
  HttpRequest request;
  asio::co_spawn(
      run,
      [&]() -> asio::awaitable<void> {
        co_await connection.Connect(5000ms);
        co_await connection.Exchange(request, 5000ms);
      },
      [](std::exception_ptr error) {
        if (error != nullptr) {
          std::rethrow_exception(error);
        }
      });
  run.run();
  CHECK(connection.IsReusable());
  this->server->Stop();
  REQUIRE(this->AwaitConnections(0));
  // The server has closed the connection, but the client detects that only after some delay.
  for (int attempt = 0; attempt < 2000 && connection.IsReusable(); ++attempt) {
    std::this_thread::sleep_for(5ms);
  }
  CHECK(connection.is_open());
  CHECK_FALSE(connection.IsReusable());
}

}  // namespace
}  // namespace poplarmoor
