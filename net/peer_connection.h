#pragma once

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "kernel/time.h"
#include "net/peer_frame.h"

namespace poplarmoor {

struct TrafficCounter;

class KeyRing;

/// TCP connection between two daemons: does the handshake, reads frames and queues writes. Runs on
/// the strand of its socket; Send() and Close() may be called from any thread.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  /// @param socket Socket on a strand; connected or to be connected by Connect().
  /// @param traffic Counts the bytes that are sent and received; must not be null.
  PeerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<TrafficCounter> traffic);

  /// Connects to a daemon; both sides authenticate each other.
  /// @param address "IP:port".
  /// @param daemon Name of this daemon.
  /// @param keys Shared keys of the daemons.
  /// @throws std::exception that says what failed.
  boost::asio::awaitable<void> Connect(std::string address,
                                       std::string daemon,
                                       const KeyRing* keys);

  /// Does the handshake of an accepted connection, in which both sides authenticate each other.
  /// @param daemon Name of this daemon.
  /// @param keys Shared keys of the daemons.
  /// @throws std::exception that says what failed.
  boost::asio::awaitable<void> Accept(std::string daemon, const KeyRing* keys);

  /// @returns The next frame.
  /// @throws std::exception when the connection ended or the frame is malformed.
  boost::asio::awaitable<PeerFrame> Receive();

  /// Queues a frame. The frames that are queued during a write are sent together by the next write.
  /// Closes the connection instead when too many bytes are queued already.
  /// @param bytes Encoded frame with its length prefix.
  void Send(std::string bytes);

  /// Closes the connection; a pending Receive() fails.
  void Close();

  /// @returns Name of the peer daemon; empty until the handshake has authenticated the peer.
  const std::string& peer() const { return this->peer_name; }

  /// @returns Remote "IP:port", for logs.
  const std::string& remote() const { return this->remote_address; }

  /// @returns Time at which the last bytes arrived; TimePoint() when none have arrived yet.
  TimePoint last_received() const { return TimePoint(Duration(this->received_at.load())); }

  boost::asio::any_io_executor executor() { return this->socket.get_executor(); }

 private:
  boost::asio::awaitable<std::string_view> ReadFrame(size_t max_size);
  boost::asio::awaitable<void> WriteQueue();
  void StartHandshakeTimer();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer handshake_timer;
  std::shared_ptr<TrafficCounter> traffic;
  std::string peer_name;
  std::string remote_address;
  std::string input;    // Read buffer; bytes `consumed` to `filled` are unprocessed.
  size_t consumed = 0;  // Bytes of the frames that were already returned.
  size_t filled = 0;    // Bytes that were read into the buffer.
  std::atomic<int64_t> received_at{0};  // Time of Now() in microseconds.

  std::mutex mutex;
  std::string output;    // Queued frames.
  bool writing = false;  // WriteQueue() is running.
  bool closed = false;
};

}  // namespace poplarmoor
