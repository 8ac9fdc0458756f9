#pragma once

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "kernel/time.h"
#include "net/peer_frame.h"

namespace poplarmoor {

struct TrafficCounter;

class KeyRing;

/// TCP connection between two daemons. It authenticates the other daemon by a handshake, reads
/// frames and queues frames to write. Its coroutines run on the strand of its socket; Send() and
/// Close() may be called from any thread.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  /// @param socket Socket on a strand: an accepted one, or an unconnected one for Connect().
  /// @param traffic Counts the bytes that are sent and received; must not be null.
  PeerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<TrafficCounter> traffic);

  /// Connects to another daemon; then both daemons authenticate each other. Closing a connection
  /// that was opened so resets it: bytes that have not reached the peer are lost.
  /// @param address Address of the other daemon's peer listener, "IP:port".
  /// @param daemon Name of this daemon.
  /// @param keys Shared keys of the daemons.
  /// @throws std::exception when the connection cannot be opened or the handshake fails; the error
  ///     message says why.
  boost::asio::awaitable<void> Connect(std::string address,
                                       std::string daemon,
                                       const KeyRing* keys);

  /// Runs the accepting side of the handshake, in which both daemons authenticate each other.
  /// @param daemon Name of this daemon.
  /// @param keys Shared keys of the daemons.
  /// @throws std::exception when the handshake fails; the error message says why.
  boost::asio::awaitable<void> Accept(std::string daemon, const KeyRing* keys);

  /// @returns The next frame from the peer.
  /// @throws std::exception when the connection ended or the frame is malformed.
  boost::asio::awaitable<PeerFrame> Receive();

  /// Queues a frame. Frames that are queued while a write is in progress are sent together by the
  /// next writes. If the queue would exceed its size limit, because the peer reads too slowly or
  /// not at all, closes the connection instead.
  /// @param bytes Encoded frame with its length prefix.
  /// @param urgent Whether the frame is sent before the queued frames that are not urgent.
  void Send(std::string bytes, bool urgent = false);

  /// Closes the connection; a pending Receive() fails.
  void Close();

  /// @returns Name of the peer daemon; empty until the handshake has authenticated the peer.
  const std::string& peer() const { return this->peer_name; }

  /// @returns Address of the peer for log lines, "IP:port".
  const std::string& remote() const { return this->remote_address; }

  /// @returns Time at which the latest bytes arrived from the peer; TimePoint() before the first.
  TimePoint last_received() const { return TimePoint(Duration(this->received_at.load())); }

  boost::asio::any_io_executor executor() { return this->socket.get_executor(); }

 private:
  boost::asio::awaitable<std::string_view> ReadFrame(size_t max_size);
  boost::asio::awaitable<void> WriteQueue();
  // Takes the frames of the next write out of the queue. The caller holds `mutex`.
  std::string TakeBatch();
  void StartHandshakeTimer();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer handshake_timer;
  std::shared_ptr<TrafficCounter> traffic;
  std::string peer_name;
  std::string remote_address;
  // Read buffer. The bytes from offset `consumed` up to offset `filled` are not processed yet.
  std::string input;
  size_t consumed = 0;  // Number of bytes at the start of `input` that were already processed.
  size_t filled = 0;    // Number of received bytes in `input`, including the processed ones.
  // Time at which the latest bytes arrived, in microseconds on the clock of Now().
  std::atomic<int64_t> received_at{0};

  std::mutex mutex;
  // Frames that wait for a write, with their length prefixes, and the sum of their sizes in bytes.
  std::string urgent_output;
  std::deque<std::string> output;
  size_t output_size = 0;
  bool writing = false;  // Whether WriteQueue() is running.
  bool closed = false;
};

}  // namespace poplarmoor
