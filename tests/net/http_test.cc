#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "net/http_client.h"
#include "net/http_connection.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace poplarmoor {
namespace {

namespace asio = boost::asio;
using std::chrono_literals::operator""ms;

/// An HTTP server that answers with the method and body of the request, and a client of it.
struct HttpFixture {
  HttpFixture() {
    this->server = std::make_shared<HttpServer>(
        this->context.get_executor(),
        [](HttpRequest request, ConnectionId) -> asio::awaitable<HttpResponse> {
          if (request.target == "/throw") {
            throw std::runtime_error("handler failed");
          }
          HttpResponse response;
          response.body = request.method + " " + request.body;
          co_return response;
        });
    this->server->Listen("127.0.0.1:0");
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~HttpFixture() {
    this->server->Stop();
    this->context.stop();
    this->thread.join();
  }

  HttpResponse Send(HttpRequest request) {
    HttpClient client(this->context.get_executor());
    return asio::co_spawn(
               this->context,
               [&]() -> asio::awaitable<HttpResponse> {
                 co_return co_await client.Send(this->server->address(), request, 5000ms);
               },
               asio::use_future)
        .get();
  }

  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
  std::shared_ptr<HttpServer> server;
  std::thread thread;
};

TEST_CASE_METHOD(HttpFixture,
                 "an HTTP request gets the response that the server's handler returns") {
  HttpRequest request;
  request.method = "POST";
  request.body = "hello";
  CHECK(this->Send(request).body == "POST hello");
}

TEST_CASE_METHOD(
    HttpFixture,
    "an HTTP request whose handler throws an exception gets status 500 instead of a closed "
    "connection") {
  HttpRequest request;
  request.target = "/throw";
  CHECK(this->Send(request).status == 500);
}

TEST_CASE_METHOD(HttpFixture, "an HTTP request with a body above the size limit gets status 413") {
  HttpRequest request;
  request.method = "POST";
  request.body = std::string((1 << 20) + 1, 'x');
  CHECK(this->Send(request).status == 413);
}

TEST_CASE(
    "the error of an HTTP connection that cannot be opened says that nothing was sent, so that the "
    "request can be retried") {
  asio::io_context context;
  HttpConnection connection(context.get_executor(), "127.0.0.1:1");
  bool sent = true;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        try {
          co_await connection.Connect(1000ms);
        } catch (const HttpError& error) {
          sent = error.sent;
        }
      },
      asio::detached);
  context.run();
  CHECK_FALSE(sent);
}

}  // namespace
}  // namespace poplarmoor
