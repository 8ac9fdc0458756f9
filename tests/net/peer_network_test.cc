#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "net/address.h"
#include "net/key_ring.h"
#include "net/peer_frame.h"
#include "net/peer_network.h"
#include "wire/msgpack_fields.h"

namespace poplarmoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono_literals::operator""ms;

const std::string kSecret = "0123456789abcdef0123456789abcdef";

struct PeerFixture {
  PeerFixture() {
    this->server.SetHandler(
        "echo", [](std::string from, PeerMessage message) -> asio::awaitable<PeerMessage> {
          co_return PeerMessage("echoed", from + ":" + message.body);
        });
    this->server.SetHandler("fail", [](std::string, PeerMessage) -> asio::awaitable<PeerMessage> {
      throw std::runtime_error("handler failed");
      co_return PeerMessage();
    });
    // Answers only when the connection is closed.
    this->server.SetHandler("hang", [](std::string, PeerMessage) -> asio::awaitable<PeerMessage> {
      asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::seconds(60));
      co_await timer.async_wait(asio::use_awaitable);
      co_return PeerMessage();
    });
    // Answers calls in reverse: the first call waits for the second.
    this->server.SetHandler(
        "swap", [this](std::string, PeerMessage message) -> asio::awaitable<PeerMessage> {
          if (message.body == "first") {
            asio::steady_timer timer(co_await asio::this_coro::executor);
            while (!this->second_answered) {
              timer.expires_after(1ms);
              co_await timer.async_wait(asio::use_awaitable);
            }
          }
          this->second_answered = message.body == "second";
          co_return PeerMessage("swapped", message.body);
        });
    this->server.Listen("127.0.0.1:0");
    for (int i = 0; i < 2; ++i) {
      this->threads.emplace_back([this] { this->context.run(); });
    }
  }

  ~PeerFixture() {
    this->client.Stop();
    this->server.Stop();
    this->context.stop();
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  std::future<PeerMessage> Call(PeerNetwork* network,
                                PeerMessage message,
                                std::chrono::milliseconds timeout = 20000ms) {
    return asio::co_spawn(asio::make_strand(this->context),
                          network->Call(this->server.address(), std::move(message), timeout),
                          asio::use_future);
  }

  /// Sends raw bytes to the server and returns what it answers until it closes the connection.
  std::string SendRaw(const std::string& bytes) {
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect(ParseAddress(this->server.address()));
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  asio::io_context context{2};
  asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
  KeyRing keys{"new", {{"new", kSecret}, {"old", kSecret + "old"}}};
  PeerNetwork server{context.get_executor(), "server", &keys};
  PeerNetwork client{context.get_executor(), "client", &keys};
  std::atomic<bool> second_answered{false};
  std::vector<std::thread> threads;
};

TEST_CASE_METHOD(PeerFixture, "a call gets the answer of the handler and the caller's name") {
  const PeerMessage answer = this->Call(&this->client, {"echo", "text"}).get();
  CHECK(answer.type == "echoed");
  CHECK(answer.body == "client:text");
}

// Braces in a co_await expression build PeerMessage there; g++ 12 destroyed the aggregate twice.
TEST_CASE_METHOD(PeerFixture, "a message built within the co_await expression arrives") {
  const auto call = [this]() -> asio::awaitable<PeerMessage> {
    co_return co_await this->client.Call(this->server.address(), {"echo", std::string(100, 'x')},
                                         20000ms);
  };
  CHECK(asio::co_spawn(asio::make_strand(this->context), call(), asio::use_future).get().body ==
        "client:" + std::string(100, 'x'));
}

TEST_CASE_METHOD(PeerFixture, "many calls share a connection and get their own answers") {
  std::vector<std::future<PeerMessage>> answers;
  for (int i = 0; i < 500; ++i) {
    answers.push_back(this->Call(&this->client, {"echo", std::to_string(i)}));
  }
  for (int i = 0; i < 500; ++i) {
    CHECK(answers[i].get().body == "client:" + std::to_string(i));
  }
}

TEST_CASE_METHOD(PeerFixture, "answers that arrive out of order reach their calls") {
  auto first = this->Call(&this->client, {"swap", "first"});
  auto second = this->Call(&this->client, {"swap", "second"});
  CHECK(second.get().body == "second");
  CHECK(first.get().body == "first");
}

TEST_CASE_METHOD(PeerFixture, "a message near the size limit passes and a larger one is not sent") {
  const std::string large(kMaxPeerFrame - 1000, 'x');
  CHECK(this->Call(&this->client, {"echo", large}).get().body.size() == large.size() + 7);
  try {
    this->Call(&this->client, {"echo", std::string(kMaxPeerFrame, 'x')}).get();
    FAIL("an oversized message was sent");
  } catch (const PeerError& error) {
    CHECK_FALSE(error.sent);
  }
}

// The entry retries a request that is not repeatable only when the error says that it was not sent.
TEST_CASE_METHOD(PeerFixture, "errors say whether the call may have been sent") {
  const auto sent = [this](PeerNetwork* network, PeerMessage message,
                           std::chrono::milliseconds timeout) {
    try {
      this->Call(network, std::move(message), timeout).get();
    } catch (const PeerError& error) {
      return std::string(error.sent ? "sent" : "not sent");
    }
    return std::string("answered");
  };
  CHECK(sent(&this->client, {"fail", ""}, 20000ms) == "sent");
  CHECK(sent(&this->client, {"unknown", ""}, 20000ms) == "not sent");
  CHECK(sent(&this->client, {"hang", ""}, 50ms) == "sent");
  const KeyRing foreign("new", {{"new", "another secret, 16 bytes"}});
  PeerNetwork stranger(this->context.get_executor(), "stranger", &foreign);
  CHECK(sent(&stranger, {"echo", ""}, 20000ms) == "not sent");
  const KeyRing unknown("newest", {{"newest", kSecret}});
  PeerNetwork early(this->context.get_executor(), "early", &unknown);
  CHECK(sent(&early, {"echo", ""}, 20000ms) == "not sent");
  stranger.Stop();
  early.Stop();
}

TEST_CASE_METHOD(PeerFixture, "a call on a connection that breaks may have been sent") {
  REQUIRE(this->Call(&this->client, {"echo", ""}).get().type == "echoed");
  auto hanging = this->Call(&this->client, {"hang", ""});
  REQUIRE(this->Call(&this->client, {"echo", ""}).get().type == "echoed");
  this->server.Stop();
  try {
    hanging.get();
    FAIL("the call was answered");
  } catch (const PeerError& error) {
    CHECK(error.sent);
  }
}

TEST_CASE_METHOD(PeerFixture, "a call to a port without listener was not sent") {
  this->server.Stop();
  asio::io_context own;
  tcp::acceptor unused(own, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string address = FormatAddress(unused.local_endpoint());
  unused.close();
  auto call = asio::co_spawn(asio::make_strand(this->context),
                             this->client.Call(address, {"echo", ""}, 20000ms), asio::use_future);
  try {
    call.get();
    FAIL("the call was answered");
  } catch (const PeerError& error) {
    CHECK_FALSE(error.sent);
  }
}

// Old keys stay valid during a rotation, whichever side has the new current key first.
TEST_CASE_METHOD(PeerFixture, "daemons with different current keys reach each other") {
  const KeyRing rotated("old", {{"new", kSecret}, {"old", kSecret + "old"}});
  PeerNetwork other(this->context.get_executor(), "other", &rotated);
  CHECK(this->Call(&other, {"echo", "x"}).get().body == "other:x");
  other.Stop();
}

TEST_CASE_METHOD(PeerFixture, "malformed and oversized frames close the connection") {
  CHECK(this->SendRaw(std::string("\xff\xff\xff\xff", 4)).empty());
  CHECK(this->SendRaw(AddPeerLength("not msgpack")).empty());
  CHECK(this->SendRaw(EncodePeerFrame({1, {"echo", "without handshake"}})).empty());
  // A hello with a wrong MAC afterwards gets the server's hello and nothing else.
  MsgpackWriter hello(5);
  hello.Field("type", "hello");
  hello.Field("daemon", "thief");
  hello.Field("key_id", "new");
  hello.Bytes("nonce", "0123456789abcdef");
  hello.Field("v", 1);
  MsgpackWriter done(2);
  done.Field("type", "hello_done");
  done.Bytes("mac", std::string(32, 'x'));
  asio::io_context own;
  tcp::socket socket(own);
  socket.connect(ParseAddress(this->server.address()));
  asio::write(socket, asio::buffer(AddPeerLength(hello.Take())));
  std::string ack(kPeerLengthSize, ' ');
  asio::read(socket, asio::buffer(ack));
  ack.resize(ReadPeerLength(ack));
  asio::read(socket, asio::buffer(ack));
  CHECK(MsgpackFields(ack).String("type") == "hello_ack");
  asio::write(socket,
              asio::buffer(AddPeerLength(done.Take()) + EncodePeerFrame({1, {"echo", "stolen"}})));
  std::string stolen;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(stolen), error);
  CHECK(stolen.empty());
  CHECK(this->Call(&this->client, {"echo", "still"}).get().body == "client:still");
}

TEST_CASE("a silent peer's repeatable calls can be ended, or they wait until their deadlines") {
  PeerFixture fixture;
  auto repeatable = asio::co_spawn(
      asio::make_strand(fixture.context),
      fixture.client.Call(fixture.server.address(), PeerMessage("hang", ""),
                          std::chrono::milliseconds(60000), PeerCallKind::kRepeatable),
      asio::use_future);
  auto once = fixture.Call(&fixture.client, PeerMessage("hang", ""), 60000ms);
  auto poll =
      asio::co_spawn(asio::make_strand(fixture.context),
                     fixture.client.Call(fixture.server.address(), PeerMessage("hang", ""),
                                         std::chrono::milliseconds(60000), PeerCallKind::kLongPoll),
                     asio::use_future);
  while (fixture.client.SilentPeers(50ms).empty()) {
    std::this_thread::sleep_for(5ms);
  }
  CHECK(fixture.client.SilentPeers(50ms) == std::vector<std::string>{fixture.server.address()});
  fixture.client.EndSilentCalls(fixture.server.address());
  try {
    repeatable.get();
    FAIL("the call was not ended");
  } catch (const PeerError& error) {
    CHECK(error.sent);
  }
  CHECK(once.wait_for(50ms) == std::future_status::timeout);
  CHECK(poll.wait_for(1ms) == std::future_status::timeout);
  // New calls use a new connection.
  CHECK(fixture.Call(&fixture.client, PeerMessage("echo", "again")).get().body == "client:again");
  CHECK(fixture.client.SilentPeers(60000ms).empty());
}

}  // namespace
}  // namespace poplarmoor
