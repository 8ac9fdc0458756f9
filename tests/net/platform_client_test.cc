#include "net/platform_client.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "net/http_client.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace poplarmoor {
namespace {

namespace asio = boost::asio;
using std::chrono_literals::operator""ms;

// A simulated platform that answers each request with a prepared response and records the request.
struct PlatformFixture {
  PlatformFixture() {
    this->server = std::make_shared<HttpServer>(
        this->context.get_executor(),
        [this](HttpRequest request, ConnectionId) -> asio::awaitable<HttpResponse> {
          this->request = request;
          co_return this->response;
        });
    this->server->Listen("127.0.0.1:0");
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~PlatformFixture() {
    this->server->Stop();
    this->context.stop();
    this->thread.join();
  }

  void Prepare(unsigned status, const std::string& body) {
    this->response.status = status;
    this->response.body = body;
  }

  template <typename Call>
  auto Run(Call call) {
    HttpClient http(this->context.get_executor());
    PlatformClient client(&http, this->server->address(), 5000ms);
    return asio::co_spawn(this->context, call(client), asio::use_future).get();
  }

  PlatformError FailedPut() {
    try {
      this->Run([](PlatformClient& client) { return client.Put("config", "common", "{}", 3); });
    } catch (const PlatformError& error) {
      return error;
    }
    FAIL("the update was reported as stored");
    throw std::logic_error("not reached");
  }

  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
  std::shared_ptr<HttpServer> server;
  HttpRequest request;
  HttpResponse response;
  std::thread thread;
};

TEST_CASE_METHOD(
    PlatformFixture,
    "reading a platform object that does not exist returns nothing instead of an error") {
  this->Prepare(404, "{}");
  CHECK_FALSE(this->Run([](PlatformClient& client) { return client.Get("config", "a b"); }));
  CHECK(this->request.target == "/v1/objects/config/a%20b");
}

TEST_CASE_METHOD(
    PlatformFixture,
    "a platform watch returns the changed objects and the revision from which the next watch "
    "continues") {
  this->Prepare(200, R"({"revision":9,"objects":[
      {"kind":"config","name":"common","version":2,"revision":8,"value":{"a":1}}]})");
  const auto snapshot =
      this->Run([](PlatformClient& client) { return client.Watch("config", 7, 100ms); });
  CHECK(this->request.target == "/v1/watch/config?since=7&timeout_ms=100");
  CHECK(snapshot.revision == 9);
  REQUIRE(snapshot.objects.size() == 1);
  CHECK(snapshot.objects[0].value == R"({"a":1})");
}

TEST_CASE_METHOD(
    PlatformFixture,
    "an update of a platform object sends the object version that it expects, so that it cannot "
    "overwrite a concurrent update") {
  this->Prepare(200, R"({"version":4,"revision":11})");
  const auto stored = this->Run(
      [](PlatformClient& client) { return client.Put("config", "common", R"({"x":1})", 3); });
  CHECK(this->request.body == R"({"if_version":3,"value":{"x":1}})");
  CHECK(stored.version == 4);
  CHECK(stored.revision == 11);
}

TEST_CASE_METHOD(PlatformFixture,
                 "the error of a platform update with a version conflict contains the stored "
                 "version and value") {
  this->Prepare(409, R"({"version":5,"revision":12,"value":{"y":2}})");
  const PlatformError error = this->FailedPut();
  CHECK(error.failure == PlatformFailure::kConflict);
  CHECK_FALSE(error.may_have_taken_effect);
  CHECK(error.current.version == 5);
  CHECK(error.current.value == R"({"y":2})");
}

TEST_CASE_METHOD(
    PlatformFixture,
    "a platform update that is refused because of its size or the rate limit is reported as not "
    "stored") {
  this->Prepare(429, "{}");
  CHECK(this->FailedPut().failure == PlatformFailure::kRateLimited);
  this->Prepare(413, "{}");
  CHECK(this->FailedPut().failure == PlatformFailure::kTooLarge);
  CHECK_FALSE(this->FailedPut().may_have_taken_effect);
}

TEST_CASE_METHOD(
    PlatformFixture,
    "a platform update that gets a server error or a malformed response is reported as possibly "
    "stored") {
  this->Prepare(503, "{}");
  CHECK(this->FailedPut().may_have_taken_effect);
  this->Prepare(200, "not json");
  const PlatformError error = this->FailedPut();
  CHECK(error.failure == PlatformFailure::kBadAnswer);
  CHECK(error.may_have_taken_effect);
}

TEST_CASE("a platform update whose connection is refused is reported as not stored") {
  asio::io_context context;
  HttpClient http(context.get_executor());
  PlatformClient client(&http, "127.0.0.1:1", 1000ms);
  bool unreachable = false;
  bool may_have_taken_effect = true;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        try {
          co_await client.Put("config", "common", "{}", 0);
        } catch (const PlatformError& error) {
          unreachable = error.failure == PlatformFailure::kUnreachable;
          may_have_taken_effect = error.may_have_taken_effect;
        }
      },
      asio::detached);
  context.run();
  CHECK(unreachable);
  CHECK_FALSE(may_have_taken_effect);
}

}  // namespace
}  // namespace poplarmoor
