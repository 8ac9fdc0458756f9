#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace poplarmoor {

class KeyRing;

/// Message between daemons. The body is one msgpack value, encoded by the codec of its type.
struct PeerMessage {
  PeerMessage() = default;
  // Not an aggregate: g++ 12 destroys an aggregate twice when a co_await expression builds it from
  // braces.
  PeerMessage(std::string type, std::string body) : type(std::move(type)), body(std::move(body)) {}

  std::string type;  // For example "forward" or "gossip".
  std::string body;
};

/// Failure of a call to another daemon.
class PeerError : public std::runtime_error {
 public:
  /// @param message What failed, with the address.
  /// @param sent Whether the call may have run at the peer. False when no byte of the call was
  ///     sent, or when the peer answered that it refused the call without running it.
  PeerError(const std::string& message, bool sent) : std::runtime_error(message), sent(sent) {}

  bool sent = false;
};

/// How a call is treated when nothing more arrives from its peer.
enum class PeerCallKind {
  kLongPoll,       // The peer may answer late, so a missing answer is no sign of failure.
  kNonRepeatable,  // Must not run twice: once sent, the call waits until its time limit.
  kRepeatable,     // FailRetryableCalls() fails the call, so that another daemon can be asked.
};

/// Authenticated connections to the other daemons; calls are multiplexed over one connection for
/// each peer. Safe to use from several threads.
class PeerNetwork {
 public:
  using Handler =
      std::function<boost::asio::awaitable<PeerMessage>(std::string from_daemon, PeerMessage)>;

  /// @param executor Executor of the I/O threads.
  /// @param daemon Name of this daemon.
  /// @param keys Shared keys for the handshake; must outlive this object.
  PeerNetwork(boost::asio::any_io_executor executor, std::string daemon, const KeyRing* keys);
  ~PeerNetwork();

  /// Sets the handler of one message type. Call before Listen().
  void SetHandler(const std::string& type, Handler handler);

  /// Starts accepting connections of other daemons.
  /// @param address "IP:port"; port 0 selects a free port.
  /// @throws std::runtime_error when the address is malformed or in use.
  void Listen(const std::string& address);

  /// @returns The address that the listener is bound to, "IP:port".
  std::string address() const;

  /// Calls another daemon.
  /// @param address Address of the other daemon's peer listener, "IP:port".
  /// @param message Message to send.
  /// @param timeout Time limit of the call, including the time to connect.
  /// @param kind How the call is treated when nothing more arrives from the peer.
  /// @returns The other daemon's answer.
  /// @throws PeerError when the call fails.
  boost::asio::awaitable<PeerMessage> Call(std::string address,
                                           PeerMessage message,
                                           std::chrono::milliseconds timeout,
                                           PeerCallKind kind = PeerCallKind::kNonRepeatable);

  /// @param silence Time without any byte from a peer.
  /// @returns Addresses of the peers from which nothing has arrived for that time, although a call
  ///     other than a long poll has waited for an answer that long.
  std::vector<std::string> UnresponsivePeers(std::chrono::milliseconds silence) const;

  /// @returns Addresses of the peers to which this daemon has an open connection.
  std::vector<std::string> ConnectedPeers() const;

  /// Fails all repeatable calls to a peer, and the non-repeatable calls that were not sent yet.
  /// Later calls use a new connection.
  /// @param address Address of the peer.
  void FailRetryableCalls(const std::string& address);

  /// Closes the listener and all connections.
  void Stop();

  /// @returns Bytes sent and received since the start, without the requests of callers that other
  ///     daemons forwarded to this one and without the answers to them.
  std::pair<uint64_t, uint64_t> control_traffic() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace poplarmoor
