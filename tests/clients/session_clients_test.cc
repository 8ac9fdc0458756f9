#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "net/address.h"
#include "tests/clients/client_crowd.h"
#include "tests/clients/daemon_process.h"
#include "tests/platform/session_platform.h"

namespace poplarmoor {
namespace {

namespace asio = boost::asio;

constexpr size_t kMessageLimit = 1 << 20;  // Longest message, in bytes.
constexpr int kMemoryMb = 160;             // Memory of the smallest VM.
// Largest growth of the resident memory over that of the idle daemon, in bytes. The rest of the
// VM's 160 MB is for the idle daemon and the kernel. The bound holds with the address sanitizer.
constexpr size_t kMaxGrowth = 120 << 20;
constexpr size_t kManyDescriptors = 4300;
constexpr size_t kFewDescriptors = 256;
// Descriptors of the idle daemon and of one ordinary caller, with some to spare.
constexpr size_t kIdleDescriptors = 64;
constexpr char kOpen[] = "OPEN orders key\r\n";

// A daemon with its platform, and the functions that a test needs of an ordinary caller.
struct SessionFixture {
  explicit SessionFixture(size_t max_descriptors = kManyDescriptors)
      : process("poplarmoor-sessiond",
                {{"settings", platform.MakeSettings(this->listeners, kMemoryMb, max_descriptors)}},
                max_descriptors) {
    this->process.AwaitReady(this->listeners.readiness, "/v1/readiness");
    this->process.AwaitListening(this->listeners.peers);
    REQUIRE(this->ServesOrdinaryCaller());
    this->idle = this->process.PeakResident();
  }

  static platform::SessionPlatform::Listeners MakeListeners() {
    platform::SessionPlatform::Listeners listeners;
    listeners.callers = FindFreeAddress();
    listeners.readiness = FindFreeAddress();
    listeners.peers = FindFreeAddress();
    listeners.metrics = FindFreeAddress();
    if (PortOf(listeners.peers) > PortOf(listeners.metrics)) {
      std::swap(listeners.peers, listeners.metrics);
    }
    return listeners;
  }

  // Opens a session, sends one statement of this size and returns whether it was answered. Waits up
  // to 10 s for an answer.
  bool Ask(size_t statement_size) const {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    std::string answer;
    const auto ask = [&]() -> asio::awaitable<void> {
      co_await socket.async_connect(ParseAddress(this->listeners.callers), asio::use_awaitable);
      std::string text = std::string(kOpen) + "QUERY ordinary READ ";
      text += std::string(statement_size - 20, 'x') + "\r\n";
      co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
      co_await asio::async_read_until(socket, asio::dynamic_buffer(answer),
                                      "COMPLETE signed.ordinary\r\n", asio::use_awaitable);
    };
    bool answered = false;
    asio::co_spawn(context, ask(), [&](std::exception_ptr failure) { answered = !failure; });
    context.run_for(std::chrono::seconds(10));
    return answered;
  }

  // Returns whether an ordinary caller is served. It repeats a refused statement, as callers do.
  bool ServesOrdinaryCaller() const {
    for (int attempt = 0; attempt < 60; ++attempt) {
      if (this->Ask(100)) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  }

  void CheckBounds() const {
    REQUIRE(this->process.IsAlive());
    const size_t growth = this->process.PeakResident() - this->idle;
    INFO("growth in MB: " << (growth >> 20) << ", idle: " << (this->idle >> 20));
    CHECK(growth <= kMaxGrowth);
    CHECK(this->process.Descriptors() <= kManyDescriptors);
    CHECK(this->ServesOrdinaryCaller());
  }

  void AwaitReceived() const { this->process.AwaitReceived(PortOf(this->listeners.callers)); }

  platform::SessionPlatform platform;
  platform::SessionPlatform::Listeners listeners = MakeListeners();
  DaemonProcess process;
  size_t idle = 0;  // Resident memory of the idle daemon, in bytes.
};

// Guards against a limit that refuses callers within the documented limits.
TEST_CASE("session daemon: a message of the largest legal size is served") {
  SessionFixture fixture;
  CHECK(fixture.Ask(kMessageLimit));
}

// Guards against read buffers whose sum only the number of sessions limits. Listed in
// KNOWN-RED.txt: beside load, one of its sections exceeds the bound at times.
TEST_CASE("session daemon: messages that stop half-way stay within the memory of the VM",
          "[!mayfail]") {
  const size_t size = GENERATE(kMessageLimit - 100, 3 * kMessageLimit);
  const size_t piece = GENERATE(size_t{4000}, 4 * kMessageLimit);
  SessionFixture fixture;
  ClientCrowd crowd(fixture.listeners.callers, 300);
  crowd.Send(std::string(kOpen) + "QUERY q READ " + std::string(size, 'x'), piece);
  fixture.AwaitReceived();
  fixture.CheckBounds();
}

// Guards against messages that wait for a slot or an answer without a limit on their bytes.
TEST_CASE("session daemon: whole messages without an answer stay within the memory of the VM") {
  SessionFixture fixture;
  fixture.platform.SetAnswering(false);
  ClientCrowd crowd(fixture.listeners.callers, 300);
  crowd.Send(std::string(kOpen) + "QUERY q READ unanswered" +
                 std::string(kMessageLimit - 100, 'x') + "\r\n",
             4 * kMessageLimit);
  fixture.AwaitReceived();
  fixture.platform.SetAnswering(true);
  fixture.CheckBounds();
}

// Guards against answers that are kept in memory because their callers do not read them.
TEST_CASE("session daemon: large answers that are not read stay within the memory of the VM") {
  SessionFixture fixture;
  ClientCrowd crowd(fixture.listeners.callers, 60, true);
  crowd.Send(std::string(kOpen) + "QUERY q READ large-answer\r\n", kMessageLimit);
  // Each answer is read from an endpoint before the ordinary caller's statement gets its slot.
  CHECK(fixture.ServesOrdinaryCaller());
  std::this_thread::sleep_for(std::chrono::seconds(3));
  fixture.CheckBounds();
}

// Guards against one session that stores values and prepared statements without a limit.
TEST_CASE("session daemon: the state of a session stays within the memory of the VM") {
  const std::string verb = GENERATE("PREPARE s", "SET s");
  SessionFixture fixture;
  ClientCrowd crowd(fixture.listeners.callers, 1);
  crowd.Send(kOpen, kMessageLimit);
  for (int count = 0; count < 300; ++count) {
    const std::string text = "QUERY q " + verb + std::to_string(count) + " READ ";
    crowd.Send(text + std::string(kMessageLimit - 100, 'x') + "\r\n", kMessageLimit);
  }
  fixture.AwaitReceived();
  fixture.CheckBounds();
}

// Guards against sessions that hold a descriptor forever because their caller neither completes its
// message nor reads its answers.
TEST_CASE("session daemon: callers that stop reading or sending are closed") {
  SessionFixture fixture;
  ClientCrowd half(fixture.listeners.callers, 100);
  half.Send(std::string(kOpen) + "QUERY q READ half", kMessageLimit);
  ClientCrowd ahead(fixture.listeners.callers, 20, true);
  std::string pipelined = kOpen;
  for (int count = 0; count < 100000; ++count) {
    pipelined += "QUERY q SET name value\r\n";
  }
  ahead.Send(pipelined, kMessageLimit);
  fixture.AwaitReceived();
  // The wait ends as soon as the daemon has closed the connections.
  for (int second = 0; second < 180 && fixture.process.Descriptors() > kIdleDescriptors; ++second) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  CHECK(fixture.process.Descriptors() <= kIdleDescriptors);
  fixture.CheckBounds();
}

// Guards against a listener whose connections take the descriptors that the others need.
TEST_CASE("session daemon: idle connections to one listener leave descriptors for the others") {
  const auto listener = GENERATE(&platform::SessionPlatform::Listeners::callers,
                                 &platform::SessionPlatform::Listeners::readiness,
                                 &platform::SessionPlatform::Listeners::metrics,
                                 &platform::SessionPlatform::Listeners::peers);
  SessionFixture fixture(kFewDescriptors);
  ClientCrowd crowd(fixture.listeners.*listener, 300);
  crowd.Send("P", 1);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(fixture.process.Descriptors() <= kFewDescriptors - kIdleDescriptors);
  if (listener == &platform::SessionPlatform::Listeners::callers) {
    crowd.Close();  // All sessions are taken while these callers are connected.
  }
  fixture.CheckBounds();
}

}  // namespace
}  // namespace poplarmoor
