#include <poll.h>

#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <mutex>
#include <thread>

#include "net/address.h"
#include "net/key_ring.h"
#include "net/peer_connection.h"
#include "net/peer_frame.h"
#include "net/peer_network.h"
#include "net/traffic_counter.h"
#include "wire/msgpack_fields.h"

namespace poplarmoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono_literals::operator""ms;

const std::string kSecret = "0123456789abcdef0123456789abcdef";
constexpr std::chrono::seconds kMaxStartWait{20};

/// Two daemons with the same keys: `server`, which handles four types of calls, and `client`, which
/// calls it.
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
    // The "hang" handler answers after 60 s only, so that calls to it wait until they time out or
    // their connection closes.
    this->server.SetHandler(
        "hang", [this](std::string, PeerMessage) -> asio::awaitable<PeerMessage> {
          ++this->hang_calls_started;
          asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::seconds(60));
          co_await timer.async_wait(asio::use_awaitable);
          co_return PeerMessage();
        });
    // The "swap" handler answers two calls in reverse order: the call "first" after "second".
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

  /// Waits until the server has started the handlers of `count` "hang" calls.
  /// @returns Whether they started within kMaxStartWait.
  bool HangCallsStarted(int count) {
    const auto deadline = std::chrono::steady_clock::now() + kMaxStartWait;
    while (this->hang_calls_started < count) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(1ms);
    }
    return true;
  }

  /// Sends raw bytes to the server.
  /// @returns All bytes that the server sends until it closes the connection.
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
  std::atomic<int> hang_calls_started{0};
  std::vector<std::thread> threads;
};

// Link to a peer that can be cut: bytes sent meanwhile arrive once it heals, unless their sender
// has reset the connection.
class CuttableLink {
 public:
  explicit CuttableLink(const std::string& target) : target(ParseAddress(target)) {
    this->acceptor.non_blocking(true);
    this->thread = std::thread([this] {
      while (!this->stopping) {
        {
          std::lock_guard lock(this->mutex);
          this->Accept();
          if (!this->cut) {
            std::erase_if(this->connections, [](auto& pair) { return !Pass(&pair); });
          }
        }
        std::this_thread::sleep_for(1ms);
      }
    });
  }

  ~CuttableLink() {
    this->stopping = true;
    this->thread.join();
  }

  std::string address() const { return FormatAddress(this->acceptor.local_endpoint()); }

  void SetCut(bool cut) {
    std::lock_guard lock(this->mutex);
    this->cut = cut;
  }

  /// Waits until the caller has closed its oldest connection.
  /// @returns Whether it did so within kMaxStartWait.
  bool AwaitClose() {
    const auto deadline = std::chrono::steady_clock::now() + kMaxStartWait;
    while (std::chrono::steady_clock::now() < deadline) {
      {
        std::lock_guard lock(this->mutex);
        pollfd state{this->connections.front().caller.native_handle(), POLLRDHUP, 0};
        if (::poll(&state, 1, 0) > 0) {
          return true;
        }
      }
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }

 private:
  struct Pair {
    tcp::socket caller;
    tcp::socket peer;
  };

  void Accept() {
    boost::system::error_code error;
    tcp::socket caller(this->context);
    this->acceptor.accept(caller, error);
    if (!error) {
      tcp::socket peer(this->context);
      peer.connect(this->target);
      caller.non_blocking(true);
      peer.non_blocking(true);
      this->connections.push_back({std::move(caller), std::move(peer)});
    }
  }

  // Returns whether the connection is still open.
  static bool Pass(Pair* pair) {
    return PassOn(&pair->caller, &pair->peer) && PassOn(&pair->peer, &pair->caller);
  }

  static bool PassOn(tcp::socket* from, tcp::socket* to) {
    std::string bytes;
    boost::system::error_code error;
    asio::read(*from, asio::dynamic_buffer(bytes), error);
    if (error == asio::error::connection_reset) {
      return false;
    }
    boost::system::error_code ignored;
    asio::write(*to, asio::buffer(bytes), ignored);
    return error == asio::error::would_block;
  }

  tcp::endpoint target;
  asio::io_context context;
  tcp::acceptor acceptor{context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::mutex mutex;
  bool cut = false;
  std::vector<Pair> connections;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

TEST_CASE_METHOD(
    PeerFixture,
    "a call to a peer returns the handler's answer, and the handler gets the name of the calling "
    "daemon") {
  const PeerMessage answer = this->Call(&this->client, {"echo", "text"}).get();
  CHECK(answer.type == "echoed");
  CHECK(answer.body == "client:text");
}

// The braces build the PeerMessage within the co_await expression. g++ 12 destroyed it twice
// when PeerMessage was an aggregate.
TEST_CASE_METHOD(
    PeerFixture,
    "a peer message that is built from braces within a co_await expression arrives intact") {
  const auto call = [this]() -> asio::awaitable<PeerMessage> {
    co_return co_await this->client.Call(this->server.address(), {"echo", std::string(100, 'x')},
                                         20000ms);
  };
  CHECK(asio::co_spawn(asio::make_strand(this->context), call(), asio::use_future).get().body ==
        "client:" + std::string(100, 'x'));
}

TEST_CASE_METHOD(PeerFixture,
                 "concurrent calls over one peer connection each get their own answer") {
  std::vector<std::future<PeerMessage>> answers;
  for (int i = 0; i < 500; ++i) {
    answers.push_back(this->Call(&this->client, {"echo", std::to_string(i)}));
  }
  for (int i = 0; i < 500; ++i) {
    CHECK(answers[i].get().body == "client:" + std::to_string(i));
  }
}

TEST_CASE_METHOD(PeerFixture,
                 "each call gets its own answer when a peer answers two calls in reverse order") {
  auto first = this->Call(&this->client, {"swap", "first"});
  auto second = this->Call(&this->client, {"swap", "second"});
  CHECK(second.get().body == "second");
  CHECK(first.get().body == "first");
}

TEST_CASE_METHOD(
    PeerFixture,
    "a peer message just below the size limit arrives, and one above the limit is reported as not "
    "sent") {
  const std::string large(kMaxPeerFrame - 1000, 'x');
  CHECK(this->Call(&this->client, {"echo", large}).get().body.size() == large.size() + 7);
  try {
    this->Call(&this->client, {"echo", std::string(kMaxPeerFrame, 'x')}).get();
    FAIL("an oversized message was sent");
  } catch (const PeerError& error) {
    CHECK_FALSE(error.sent);
  }
}

// The entry daemon retries a non-repeatable request only when the error says that the request did
// not run. A wrong error could make the request run twice. Despite its name, the error's field
// `sent` says whether the call may have run.
TEST_CASE_METHOD(PeerFixture,
                 "the error of a failed peer call says whether the call may have run at the peer") {
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
  const KeyRing wrong_secret_keys("new", {{"new", "another secret, 16 bytes"}});
  PeerNetwork wrong_secret_client(this->context.get_executor(), "stranger", &wrong_secret_keys);
  CHECK(sent(&wrong_secret_client, {"echo", ""}, 20000ms) == "not sent");
  const KeyRing unknown_id_keys("newest", {{"newest", kSecret}});
  PeerNetwork unknown_id_client(this->context.get_executor(), "early", &unknown_id_keys);
  CHECK(sent(&unknown_id_client, {"echo", ""}, 20000ms) == "not sent");
  wrong_secret_client.Stop();
  unknown_id_client.Stop();
}

TEST_CASE_METHOD(
    PeerFixture,
    "a peer call whose connection breaks before its answer arrives is reported as possibly run") {
  REQUIRE(this->Call(&this->client, {"echo", ""}).get().type == "echoed");
  auto hanging = this->Call(&this->client, {"hang", ""});
  REQUIRE(this->HangCallsStarted(1));
  REQUIRE(this->Call(&this->client, {"echo", ""}).get().type == "echoed");
  this->server.Stop();
  try {
    hanging.get();
    FAIL("the call was answered");
  } catch (const PeerError& error) {
    CHECK(error.sent);
  }
}

TEST_CASE_METHOD(PeerFixture, "a peer call to a port without a listener is reported as not sent") {
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

// During a key rotation, the old key stays valid, whichever daemon switches to the new key first.
TEST_CASE_METHOD(PeerFixture,
                 "daemons with different current keys can call each other during a key rotation") {
  const KeyRing rotated("old", {{"new", kSecret}, {"old", kSecret + "old"}});
  PeerNetwork other(this->context.get_executor(), "other", &rotated);
  CHECK(this->Call(&other, {"echo", "x"}).get().body == "other:x");
  other.Stop();
}

TEST_CASE_METHOD(PeerFixture,
                 "a daemon disconnects a peer that sends malformed or oversized frames or fails "
                 "the handshake, and runs none of its calls") {
  CHECK(this->SendRaw(std::string("\xff\xff\xff\xff", 4)).empty());
  CHECK(this->SendRaw(AddPeerLength("not msgpack")).empty());
  CHECK(this->SendRaw(EncodePeerFrame({1, {"echo", "without handshake"}})).empty());
  // A valid hello gets the server's hello_ack, but a hello_done with a wrong MAC gets no answer.
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
  std::string bytes_after_ack;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(bytes_after_ack), error);
  CHECK(bytes_after_ack.empty());
  CHECK(this->Call(&this->client, {"echo", "still"}).get().body == "client:still");
}

TEST_CASE(
    "repeatable calls to an unresponsive peer can be ended before their time limits, while long "
    "polls and sent non-repeatable calls to that peer keep waiting") {
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
  REQUIRE(fixture.HangCallsStarted(3));
  while (fixture.client.UnresponsivePeers(50ms).empty()) {
    std::this_thread::sleep_for(5ms);
  }
  CHECK(fixture.client.UnresponsivePeers(50ms) ==
        std::vector<std::string>{fixture.server.address()});
  fixture.client.FailRetryableCalls(fixture.server.address());
  try {
    repeatable.get();
    FAIL("the call was not ended");
  } catch (const PeerError& error) {
    CHECK(error.sent);
  }
  CHECK(once.wait_for(50ms) == std::future_status::timeout);
  CHECK(poll.wait_for(1ms) == std::future_status::timeout);
  // A call after FailRetryableCalls() uses a new connection.
  CHECK(fixture.Call(&fixture.client, PeerMessage("echo", "again")).get().body == "client:again");
  CHECK(fixture.client.UnresponsivePeers(60000ms).empty());
}

// Guards against statements that reach an endpoint long after their callers were answered: a daemon
// gives a call up behind a cut and sends the statement through another gateway.
TEST_CASE("a call that was given up behind a cut does not run once the cut heals") {
  PeerFixture fixture;
  CuttableLink link(fixture.server.address());
  const auto call = [&](std::string type, std::chrono::milliseconds limit, PeerCallKind kind) {
    return asio::co_spawn(
        asio::make_strand(fixture.context),
        fixture.client.Call(link.address(), PeerMessage(std::move(type), ""), limit, kind),
        asio::use_future);
  };
  REQUIRE(call("echo", 20000ms, PeerCallKind::kRepeatable).get().body == "client:");
  int running = 0;
  std::future<PeerMessage> poll;
  const bool polls = GENERATE(false, true);  // Whether a long poll is in progress.
  if (polls) {
    poll = call("hang", 60000ms, PeerCallKind::kLongPoll);
    REQUIRE(fixture.HangCallsStarted(++running));
  }
  link.SetCut(true);
  SECTION("the call reaches its time limit") {
    CHECK_THROWS_AS(call("hang", 50ms, PeerCallKind::kRepeatable).get(), PeerError);
  }
  SECTION("the peer does not respond") {
    auto given_up = call("hang", 20000ms, PeerCallKind::kRepeatable);
    while (fixture.client.UnresponsivePeers(50ms).empty()) {
      std::this_thread::sleep_for(5ms);
    }
    fixture.client.FailRetryableCalls(link.address());
    CHECK_THROWS_AS(given_up.get(), PeerError);
  }
  CHECK(link.AwaitClose());
  link.SetCut(false);
  CHECK(call("echo", 20000ms, PeerCallKind::kRepeatable).get().body == "client:");
  std::this_thread::sleep_for(100ms);  // A call that was held up would have started by then.
  CHECK(fixture.hang_calls_started == running);
}

// Guards against changes of the configuration that wait behind statements for a peer whose link is
// full (issue 40).
TEST_CASE("an urgent frame is sent before the queued frames that are not urgent") {
  asio::io_context context{1};
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  tcp::socket socket(asio::make_strand(context));
  socket.connect(acceptor.local_endpoint());
  tcp::socket reader = acceptor.accept();
  const auto connection =
      std::make_shared<PeerConnection>(std::move(socket), std::make_shared<TrafficCounter>());
  constexpr size_t kLarge = 32 << 20;  // More than the buffers of the system hold.
  connection->Send(std::string(kLarge, 'a'));
  context.poll();
  connection->Send(std::string(kLarge / 2, 'b'));
  connection->Send("urgent", true);
  std::string received;
  std::array<char, 65536> chunk{};
  while (received.size() < kLarge + kLarge / 2 + 6) {
    context.poll();
    reader.non_blocking(true);
    boost::system::error_code error;
    received.append(chunk.data(), reader.read_some(asio::buffer(chunk), error));
    REQUIRE((!error || error == asio::error::would_block));
  }
  CHECK(received.find("urgent") == kLarge);
}

}  // namespace
}  // namespace poplarmoor
