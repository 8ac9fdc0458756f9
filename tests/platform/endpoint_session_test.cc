#include "session/endpoint_session.h"

#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "platform/line_codec.h"

namespace poplarmoor::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Guards against statements that reach an endpoint long after their callers were answered: the
// bytes of a connection that was closed without a reset arrive once a partition heals.
TEST_CASE("a connection to an endpoint is reset when a statement on it was given up") {
  asio::io_context context{1};
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  LineCodec codec;
  EndpointSession session(context.get_executor(), &codec, address);
  tcp::socket endpoint(context);
  const auto answer_opening = [&]() -> asio::awaitable<void> {
    co_await acceptor.async_accept(endpoint, asio::use_awaitable);
    std::string line;
    co_await asio::async_read_until(endpoint, asio::dynamic_buffer(line), "\r\n",
                                    asio::use_awaitable);
    const std::string answer = "READY I 1.1\r\n";
    co_await asio::async_write(endpoint, asio::buffer(answer), asio::use_awaitable);
  };
  bool given_up = false;
  const auto run = [&]() -> asio::awaitable<void> {
    const StatementAnswer opened = co_await session.Open("ledger", "", "p", 60s);
    CHECK_FALSE(opened.error);
    std::vector<std::string> messages;
    messages.push_back(codec.EncodeStatement("r1", "READ 1", LogPosition{}));
    try {
      co_await session.Exchange(std::move(messages), 50ms);
    } catch (const EndpointSessionError& error) {
      given_up = error.kind == EndpointSessionError::Kind::kTimeout;
    }
  };
  asio::co_spawn(context, answer_opening(), asio::detached);
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  REQUIRE(given_up);
  std::string bytes;
  boost::system::error_code error;
  asio::read(endpoint, asio::dynamic_buffer(bytes), error);
  CHECK(error == asio::error::connection_reset);
}

}  // namespace
}  // namespace poplarmoor::platform
