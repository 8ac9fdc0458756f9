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

/// One message between daemons. The body is one msgpack value, packed by the codec of its type.
struct PeerMessage {
  PeerMessage() = default;
  // A constructor, because g++ 12 destroys an aggregate that is built from braces within a co_await
  // expression twice.
  PeerMessage(std::string type, std::string body) : type(std::move(type)), body(std::move(body)) {}

  std::string type;  // For example "forward" or "gossip".
  std::string body;
};

/// Failure of a call to another daemon.
class PeerError : public std::runtime_error {
 public:
  /// @param message What failed, with the address.
  /// @param sent Whether any byte of the call may have reached the peer.
  PeerError(const std::string& message, bool sent) : std::runtime_error(message), sent(sent) {}

  bool sent = false;
};

/// What becomes of a call when its peer falls silent.
enum class PeerCallKind {
  kLongPoll,    // The peer may take its time: silence is expected.
  kOnce,        // Once it was sent, it waits for its answer until the time limit.
  kRepeatable,  // Ended by EndSilentCalls(), so that the caller can ask another daemon.
};

/// Authenticated connections to the other daemons; calls are multiplexed over one connection for
/// each peer. Safe to use from several threads.
class PeerNetwork {
 public:
  using Handler =
      std::function<boost::asio::awaitable<PeerMessage>(std::string from_daemon, PeerMessage)>;

  /// @param executor Executor of the I/O threads.
  /// @param daemon Name of this daemon.
  /// @param keys Shared keys for the handshake; must outlive the network.
  PeerNetwork(boost::asio::any_io_executor executor, std::string daemon, const KeyRing* keys);
  ~PeerNetwork();

  /// Sets the handler of one message type. Call before Listen().
  void SetHandler(const std::string& type, Handler handler);

  /// Accepts peers.
  /// @param address "IP:port"; port 0 takes a free one.
  /// @throws std::runtime_error when the address is malformed or in use.
  void Listen(const std::string& address);

  /// @returns The address it listens on.
  std::string address() const;

  /// Calls another daemon.
  /// @param address Address of its peer listener.
  /// @param message Message.
  /// @param timeout Time limit, connecting included.
  /// @param kind What becomes of the call when the peer falls silent.
  /// @returns Its answer.
  /// @throws PeerError.
  boost::asio::awaitable<PeerMessage> Call(std::string address,
                                           PeerMessage message,
                                           std::chrono::milliseconds timeout,
                                           PeerCallKind kind = PeerCallKind::kOnce);

  /// @param silence Time without any byte of the peer.
  /// @returns Addresses of peers that have been silent for longer while a call waits for them.
  std::vector<std::string> SilentPeers(std::chrono::milliseconds silence) const;

  /// @returns Addresses of peers with an open connection of this daemon.
  std::vector<std::string> ConnectedPeers() const;

  /// Ends the calls to a peer that are repeatable or were not sent. New calls use a new connection.
  void EndSilentCalls(const std::string& address);

  /// Closes the listener and all connections.
  void Stop();

  /// @returns Bytes sent and received since the start, without the requests of callers.
  std::pair<uint64_t, uint64_t> control_traffic() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace poplarmoor
