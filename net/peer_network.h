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

class CloseReporter;
class KeyRing;

/// Message from one daemon to another. The body is one msgpack value, encoded by the codec that
/// belongs to the type of the message.
struct PeerMessage {
  PeerMessage() = default;
  // This constructor keeps the struct from being an aggregate: g++ 12 destroys an aggregate twice
  // when a co_await expression builds it from braces.
  PeerMessage(std::string type, std::string body) : type(std::move(type)), body(std::move(body)) {}

  std::string type;  // Selects the receiver's handler, for example "forward" or "gossip".
  std::string body;
};

/// Failure of a call to another daemon.
class PeerError : public std::runtime_error {
 public:
  /// @param message What failed, with the address of the other daemon where it is known.
  /// @param sent Despite the name, whether the call may have run at the peer. False when no byte of
  ///     the call was sent, or when the peer answered that it refused the call without running it.
  /// @param connection_refused Whether the peer's system refused the connection, so that no daemon
  ///     runs at the address.
  PeerError(const std::string& message, bool sent, bool connection_refused = false)
      : std::runtime_error(message), sent(sent), connection_refused(connection_refused) {}

  bool sent = false;  // Despite the name, whether the call may have run at the peer.
  bool connection_refused = false;
};

/// Kind of a call to another daemon (a peer). The kind decides what happens to a call that is still
/// unanswered when no more bytes arrive from the peer.
enum class PeerCallKind {
  // The peer may wait long before it answers, so a missing answer is no sign that it has failed.
  kLongPoll,
  // The call must not run twice. Once it was sent, the caller waits for the answer until the call's
  // time limit.
  kNonRepeatable,
  // The call may run twice. FailRetryableCalls() ends it with an error, so that the caller can call
  // another daemon instead.
  kRepeatable,
};

/// Authenticated connections to the other daemons. All calls to one daemon share one connection and
/// may be answered in any order. Safe to use from several threads.
class PeerNetwork {
 public:
  using Handler =
      std::function<boost::asio::awaitable<PeerMessage>(std::string from_daemon, PeerMessage)>;

  /// @param executor Executor of the I/O threads.
  /// @param daemon Name of this daemon.
  /// @param keys Keys that all daemons share, for the handshake; must outlive this object.
  PeerNetwork(boost::asio::any_io_executor executor, std::string daemon, const KeyRing* keys);
  ~PeerNetwork();

  /// Sets the function that answers calls whose message has the type `type`. Call this before
  /// Listen().
  void SetHandler(const std::string& type, Handler handler);

  /// Sets that messages of a type, and the answers to them, are sent before the queued ones of
  /// other types. Call this before Listen() and Call().
  void SetUrgent(const std::string& type);

  /// Limits the accepted connections whose handshake has not ended. Beyond the limit, a new
  /// connection takes the place of the oldest one, because the handshake of a daemon takes only
  /// milliseconds. To be called before Listen().
  /// @param max_handshakes Largest number of such connections.
  /// @param closes Counts and logs the closed connections; must outlive this object.
  void LimitHandshakes(size_t max_handshakes, CloseReporter* closes);

  /// Starts accepting connections of other daemons.
  /// @param address Address to listen on, "IP:port"; with port 0 the system selects a free port.
  /// @throws std::runtime_error when the address is malformed or in use.
  void Listen(const std::string& address);

  /// @returns The address that the listener is bound to, "IP:port".
  std::string address() const;

  /// Calls another daemon.
  /// @param address Address of the other daemon's peer listener, "IP:port".
  /// @param message Message to send.
  /// @param timeout Time limit of the call, including the time to connect.
  /// @param kind What happens to the call when no more bytes arrive from the other daemon.
  /// @returns The other daemon's answer.
  /// @throws PeerError when the message cannot be sent or no answer arrives in time. Also thrown
  ///     when the other daemon refuses the call, or when its handler of the call fails.
  boost::asio::awaitable<PeerMessage> Call(std::string address,
                                           PeerMessage message,
                                           std::chrono::milliseconds timeout,
                                           PeerCallKind kind = PeerCallKind::kNonRepeatable);

  /// @param silence Time without a byte from a peer after which the peer counts as unresponsive.
  /// @returns Addresses of the unresponsive peers: for at least the time `silence`, no byte has
  ///     arrived from the peer and a call other than a long poll has been unanswered.
  std::vector<std::string> UnresponsivePeers(std::chrono::milliseconds silence) const;

  /// @returns Addresses of the peers to which this daemon has an open connection.
  std::vector<std::string> ConnectedPeers() const;

  /// Ends all repeatable calls and all unsent non-repeatable calls to a peer with an error. Later
  /// calls to the peer use a new connection.
  /// @param address Address of the peer.
  void FailRetryableCalls(const std::string& address);

  /// Closes the listener and all connections.
  void Stop();

  /// @returns Numbers of bytes sent and received since the start. Excluded are callers' requests
  ///     that other daemons forwarded to this daemon, and this daemon's answers to them.
  std::pair<uint64_t, uint64_t> control_traffic() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace poplarmoor
