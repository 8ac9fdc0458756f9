#include "net/peer_network.h"

#include <atomic>
#include <boost/asio.hpp>
#include <map>
#include <mutex>
#include <set>

#include "net/address.h"
#include "net/handshake_limit.h"
#include "net/key_ring.h"
#include "net/now.h"
#include "net/outgoing_peer.h"
#include "net/peer_connection.h"
#include "net/peer_frame.h"
#include "net/strand.h"
#include "net/traffic_counter.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Time without calls after which this daemon closes a connection that it opened.
constexpr Duration kIdleLimit = 60s;
// Time without a byte from the peer after which this daemon closes a connection that it accepted.
// Longer than kIdleLimit, so that the daemon that opened an idle connection closes it first.
constexpr Duration kAcceptedIdleLimit = 300s;
constexpr Duration kIdleCheck = 5s;  // Time between two checks for idle connections.
// Largest number of unanswered calls on one accepted connection; further calls are refused.
constexpr int kMaxUnansweredCalls = 8192;
// Largest number of open connections that this daemon has accepted from peers; it closes further
// ones.
constexpr size_t kMaxAcceptedConnections = 16384;
// Message type of a call that forwards a caller's request.
constexpr std::string_view kForward = "forward";
// Message type of the answer to a call that the peer refused without running it.
constexpr std::string_view kRefused = "refused";
// Message type of the answer to a call whose handler failed.
constexpr std::string_view kFailed = "failed";

}  // namespace

struct PeerNetwork::Impl : std::enable_shared_from_this<PeerNetwork::Impl> {
  Impl(asio::any_io_executor executor, std::string daemon, const KeyRing* keys)
      : executor(executor),
        daemon(std::move(daemon)),
        keys(keys),
        acceptor(MakeStrand(executor)),
        idle_timer(this->acceptor.get_executor()) {}

  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> Serve(std::shared_ptr<PeerConnection> connection);
  asio::awaitable<void> Answer(std::shared_ptr<PeerConnection> connection,
                               PeerFrame frame,
                               std::shared_ptr<std::atomic<int>> active);
  asio::awaitable<void> RunOutgoing(std::shared_ptr<OutgoingPeer> peer);
  asio::awaitable<void> CloseIdleConnections();

  std::shared_ptr<OutgoingPeer> FindOrConnect(const std::string& address);
  void Open(OutgoingPeer& peer);
  void Deliver(OutgoingPeer& peer, PeerFrame frame);
  void Fail(const std::shared_ptr<OutgoingPeer>& peer,
            const std::string& error,
            bool connection_refused = false);
  CallOutcome EndCall(const std::shared_ptr<OutgoingPeer>& peer, uint64_t id);
  void RemoveFromCache(const std::shared_ptr<OutgoingPeer>& peer);
  std::vector<std::shared_ptr<OutgoingPeer>> Outgoing();

  asio::any_io_executor executor;
  std::string daemon;
  const KeyRing* keys;
  tcp::acceptor acceptor;
  asio::steady_timer idle_timer;
  std::map<std::string, Handler> handlers;
  std::set<std::string, std::less<>> urgent_types;
  std::shared_ptr<TrafficCounter> traffic = std::make_shared<TrafficCounter>();
  // The part of `traffic` that consists of callers' requests, which other daemons forwarded to this
  // daemon, and of this daemon's answers to these requests.
  TrafficCounter forwarded;
  std::atomic<bool> stopping{false};
  std::atomic<bool> idle_check_started{false};
  std::mutex mutex;
  // Cache of the connections that this daemon opened, by the address of the peer.
  std::map<std::string, std::shared_ptr<OutgoingPeer>> outgoing;
  std::set<std::shared_ptr<PeerConnection>> accepted;
  HandshakeLimit handshakes;
};

PeerNetwork::PeerNetwork(asio::any_io_executor executor, std::string daemon, const KeyRing* keys)
    : impl(std::make_shared<Impl>(executor, std::move(daemon), keys)) {}

PeerNetwork::~PeerNetwork() {
  this->Stop();
}

void PeerNetwork::SetHandler(const std::string& type, Handler handler) {
  this->impl->handlers[type] = std::move(handler);
}

void PeerNetwork::SetUrgent(const std::string& type) {
  this->impl->urgent_types.insert(type);
}

void PeerNetwork::LimitHandshakes(size_t max_handshakes, CloseReporter* closes) {
  this->impl->handshakes.Configure(max_handshakes, closes);
}

void PeerNetwork::Listen(const std::string& address) {
  const tcp::endpoint endpoint = ParseAddress(address);
  try {
    this->impl->acceptor.open(endpoint.protocol());
    this->impl->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->impl->acceptor.bind(endpoint);
    this->impl->acceptor.listen(1024);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot listen on " + address + ": " + error.code().message());
  }
  asio::co_spawn(
      this->impl->acceptor.get_executor(), [impl = this->impl] { return impl->AcceptLoop(); },
      asio::detached);
}

std::string PeerNetwork::address() const {
  return FormatAddress(this->impl->acceptor.local_endpoint());
}

std::pair<uint64_t, uint64_t> PeerNetwork::control_traffic() const {
  // The two counters are not read at the same instant, so a request that arrives between the reads
  // may be counted in `forwarded` only. The difference must not become negative then.
  const auto difference = [](uint64_t all, uint64_t forwarded) {
    return all > forwarded ? all - forwarded : 0;
  };
  return {difference(this->impl->traffic->sent, this->impl->forwarded.sent),
          difference(this->impl->traffic->received, this->impl->forwarded.received)};
}

void PeerNetwork::Stop() {
  if (this->impl->stopping.exchange(true)) {
    return;
  }
  asio::post(this->impl->acceptor.get_executor(), [impl = this->impl] {
    boost::system::error_code ignored;
    impl->acceptor.close(ignored);
    impl->idle_timer.cancel();
  });
  for (const auto& peer : this->impl->Outgoing()) {
    this->impl->Fail(peer, "the daemon is stopping");
  }
  std::lock_guard lock(this->impl->mutex);
  for (const auto& connection : this->impl->accepted) {
    connection->Close();
  }
}

asio::awaitable<void> PeerNetwork::Impl::AcceptLoop() {
  while (!this->stopping) {
    boost::system::error_code error;
    tcp::socket socket(MakeStrand(this->executor));
    co_await this->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (this->stopping || error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // The process has probably run out of file descriptors. Waits before the next attempt, to
      // avoid a busy loop.
      asio::steady_timer timer(this->acceptor.get_executor(), 20ms);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    const auto connection = std::make_shared<PeerConnection>(std::move(socket), this->traffic);
    {
      std::lock_guard lock(this->mutex);
      if (this->accepted.size() >= kMaxAcceptedConnections) {
        continue;
      }
      this->accepted.insert(connection);
    }
    this->handshakes.Add(connection);
    asio::co_spawn(
        connection->executor(),
        [self = this->shared_from_this(), connection] { return self->Serve(connection); },
        asio::detached);
  }
}

asio::awaitable<void> PeerNetwork::Impl::Serve(std::shared_ptr<PeerConnection> connection) {
  const auto active = std::make_shared<std::atomic<int>>(0);
  try {
    co_await connection->Accept(this->daemon, this->keys);
    this->handshakes.Remove(connection);
    while (!this->stopping) {
      PeerFrame frame = co_await connection->Receive();
      ++*active;
      asio::co_spawn(
          connection->executor(),
          [self = this->shared_from_this(), connection, active,
           frame = std::move(frame)]() mutable {
            return self->Answer(connection, std::move(frame), active);
          },
          asio::detached);
    }
  } catch (const boost::system::system_error&) {
    // The peer or Stop() closed the connection.
  } catch (const std::exception& error) {
    if (connection->peer().empty()) {
      this->handshakes.Report(CloseReason::kBadHandshake, connection->remote(), error.what());
    } else {
      Log(LogLevel::kWarn, "closing the connection from a peer",
          {{"peer", connection->remote()}, {"error", error.what()}});
    }
  }
  this->handshakes.Remove(connection);
  connection->Close();
  std::lock_guard lock(this->mutex);
  this->accepted.erase(connection);
}

asio::awaitable<void> PeerNetwork::Impl::Answer(std::shared_ptr<PeerConnection> connection,
                                                PeerFrame frame,
                                                std::shared_ptr<std::atomic<int>> active) {
  PeerFrame answer{frame.id, {}};
  const bool is_urgent = this->urgent_types.contains(frame.message.type);
  const bool is_forward = frame.message.type == kForward;
  if (is_forward) {
    this->forwarded.received += frame.message.body.size();
  }
  const auto found = this->handlers.find(frame.message.type);
  if (found == this->handlers.end()) {
    answer.message = {std::string(kRefused), "unknown message type " + frame.message.type};
  } else if (active->load() > kMaxUnansweredCalls) {
    answer.message = {std::string(kRefused), "too many unanswered calls"};
  } else {
    try {
      answer.message = co_await found->second(connection->peer(), std::move(frame.message));
    } catch (const std::exception& error) {
      answer.message = {std::string(kFailed), error.what()};
    }
  }
  --*active;
  std::string bytes;
  try {
    bytes = EncodePeerFrame(answer);
  } catch (const std::exception& error) {
    bytes = EncodePeerFrame({answer.id, {std::string(kFailed), error.what()}});
  }
  if (is_forward) {
    this->forwarded.sent += bytes.size();
  }
  connection->Send(std::move(bytes), is_urgent);
}

std::shared_ptr<OutgoingPeer> PeerNetwork::Impl::FindOrConnect(const std::string& address) {
  std::shared_ptr<OutgoingPeer> peer;
  {
    std::lock_guard lock(this->mutex);
    auto& cached = this->outgoing[address];
    if (cached != nullptr) {
      return cached;
    }
    peer = cached = std::make_shared<OutgoingPeer>();
    peer->address = address;
    peer->last_used = Now();
    peer->connection =
        std::make_shared<PeerConnection>(tcp::socket(MakeStrand(this->executor)), this->traffic);
  }
  asio::co_spawn(
      peer->connection->executor(),
      [self = this->shared_from_this(), peer] { return self->RunOutgoing(peer); }, asio::detached);
  if (!this->idle_check_started.exchange(true)) {
    asio::co_spawn(
        this->acceptor.get_executor(),
        [self = this->shared_from_this()] { return self->CloseIdleConnections(); }, asio::detached);
  }
  return peer;
}

asio::awaitable<void> PeerNetwork::Impl::RunOutgoing(std::shared_ptr<OutgoingPeer> peer) {
  std::string failure;
  bool connection_refused = false;
  try {
    co_await peer->connection->Connect(peer->address, this->daemon, this->keys);
    this->Open(*peer);
    while (true) {
      this->Deliver(*peer, co_await peer->connection->Receive());
    }
  } catch (const boost::system::system_error& error) {
    failure = error.code().message();
    connection_refused = error.code() == asio::error::connection_refused;
  } catch (const std::exception& error) {
    failure = error.what();
    Log(LogLevel::kWarn, "closing the connection to a peer",
        {{"peer", peer->address}, {"error", failure}});
  }
  this->Fail(peer, failure, connection_refused);
}

void PeerNetwork::Impl::Open(OutgoingPeer& peer) {
  std::lock_guard lock(peer.mutex);
  peer.open = true;
  for (auto& [id, call] : peer.calls) {
    call.sent = true;
    peer.connection->Send(std::move(call.frame));
  }
}

void PeerNetwork::Impl::Deliver(OutgoingPeer& peer, PeerFrame frame) {
  std::shared_ptr<CallPromise> promise;
  bool done = false;
  {
    std::lock_guard lock(peer.mutex);
    const auto found = peer.calls.find(frame.id);
    if (found == peer.calls.end()) {
      return;  // The call has already ended, for example at its time limit.
    }
    promise = std::move(found->second.promise);
    peer.calls.erase(found);
    done = peer.ShouldClose();
  }
  CallOutcome outcome;
  if (frame.message.type == kRefused || frame.message.type == kFailed) {
    outcome.error = "peer " + peer.address + ": " + frame.message.body;
    outcome.sent = frame.message.type == kFailed;
  } else {
    outcome.answer = std::move(frame.message);
  }
  promise->Set(std::move(outcome));
  if (done) {
    peer.connection->Close();
  }
}

void PeerNetwork::Impl::Fail(const std::shared_ptr<OutgoingPeer>& peer,
                             const std::string& error,
                             bool connection_refused) {
  this->RemoveFromCache(peer);
  std::map<uint64_t, OutgoingPeer::Call> calls;
  {
    std::lock_guard lock(peer->mutex);
    peer->closed = true;
    calls.swap(peer->calls);
  }
  for (auto& [id, call] : calls) {
    call.promise->Set({{},
                       "connection to peer " + peer->address + " failed: " + error,
                       call.sent,
                       connection_refused});
  }
  peer->connection->Close();
}

void PeerNetwork::Impl::RemoveFromCache(const std::shared_ptr<OutgoingPeer>& peer) {
  std::lock_guard lock(this->mutex);
  const auto found = this->outgoing.find(peer->address);
  if (found != this->outgoing.end() && found->second == peer) {
    this->outgoing.erase(found);
  }
}

std::vector<std::shared_ptr<OutgoingPeer>> PeerNetwork::Impl::Outgoing() {
  std::lock_guard lock(this->mutex);
  std::vector<std::shared_ptr<OutgoingPeer>> peers;
  for (const auto& entry : this->outgoing) {
    peers.push_back(entry.second);
  }
  return peers;
}

CallOutcome PeerNetwork::Impl::EndCall(const std::shared_ptr<OutgoingPeer>& peer, uint64_t id) {
  CallOutcome outcome;
  outcome.error = "no answer from peer " + peer->address + " in time";
  bool silent = false;
  bool done = false;
  {
    std::lock_guard lock(peer->mutex);
    const auto found = peer->calls.find(id);
    if (found == peer->calls.end()) {
      // The call is no longer in the table: its answer arrived, or its connection failed, between
      // the deadline and this check. In both cases the call may have run at the peer.
      outcome.sent = true;
      return outcome;
    }
    outcome.sent = found->second.sent;
    silent = peer->connection->last_received() <= found->second.started;
    peer->calls.erase(found);
    peer->draining = peer->draining || silent;
    done = peer->ShouldClose();
  }
  if (silent) {
    // No byte has arrived since the call started, so the connection may be dead. New calls use a
    // new connection. The old one stays open for the answers to calls other than long polls.
    this->RemoveFromCache(peer);
  }
  if (done) {
    peer->connection->Close();
  }
  return outcome;
}

asio::awaitable<void> PeerNetwork::Impl::CloseIdleConnections() {
  while (!this->stopping) {
    boost::system::error_code ignored;
    this->idle_timer.expires_after(kIdleCheck);
    co_await this->idle_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const TimePoint now = Now();
    for (const auto& peer : this->Outgoing()) {
      bool idle = false;
      {
        std::lock_guard lock(peer->mutex);
        idle = peer->calls.empty() && now - peer->last_used > kIdleLimit;
        peer->closed = peer->closed || idle;
      }
      if (idle) {
        this->Fail(peer, "closed because it was idle");
      }
    }
    std::lock_guard lock(this->mutex);
    for (const auto& connection : this->accepted) {
      if (connection->last_received() != TimePoint() &&
          now - connection->last_received() > kAcceptedIdleLimit) {
        connection->Close();
      }
    }
  }
}

std::vector<std::string> PeerNetwork::UnresponsivePeers(std::chrono::milliseconds silence) const {
  const TimePoint since = Now() - silence;
  std::vector<std::string> silent;
  for (const auto& peer : this->impl->Outgoing()) {
    if (peer->IsUnresponsiveSince(since)) {
      silent.push_back(peer->address);
    }
  }
  return silent;
}

std::vector<std::string> PeerNetwork::ConnectedPeers() const {
  std::vector<std::string> connected;
  for (const auto& peer : this->impl->Outgoing()) {
    std::lock_guard lock(peer->mutex);
    if (peer->open) {
      connected.push_back(peer->address);
    }
  }
  return connected;
}

void PeerNetwork::FailRetryableCalls(const std::string& address) {
  std::shared_ptr<OutgoingPeer> peer;
  {
    std::lock_guard lock(this->impl->mutex);
    const auto found = this->impl->outgoing.find(address);
    if (found == this->impl->outgoing.end()) {
      return;
    }
    peer = found->second;
    this->impl->outgoing.erase(found);
  }
  peer->FailRetryableCalls();
}

asio::awaitable<PeerMessage> PeerNetwork::Call(std::string address,
                                               PeerMessage message,
                                               std::chrono::milliseconds timeout,
                                               PeerCallKind kind) {
  const std::shared_ptr<Impl> impl = this->impl;
  const TimePoint deadline = Now() + timeout;
  const auto promise = std::make_shared<CallPromise>(co_await asio::this_coro::executor);
  std::shared_ptr<OutgoingPeer> peer;
  uint64_t id = 0;
  while (true) {
    if (impl->stopping) {
      throw PeerError("the daemon is stopping", false);
    }
    peer = impl->FindOrConnect(address);
    std::lock_guard lock(peer->mutex);
    if (peer->closed) {
      // The connection has just failed or was closed because it was idle. It is being removed from
      // the cache, so the next attempt opens a new connection.
      continue;
    }
    id = peer->next_id++;
    std::string frame;
    try {
      frame = EncodePeerFrame({id, message});
    } catch (const std::exception& error) {
      throw PeerError(error.what(), false);
    }
    peer->last_used = Now();
    OutgoingPeer::Call call{promise, {}, peer->open, peer->last_used, kind};
    if (peer->open) {
      peer->connection->Send(std::move(frame), impl->urgent_types.contains(message.type));
    } else {
      call.frame = std::move(frame);
    }
    peer->calls.emplace(id, std::move(call));
    break;
  }
  std::optional<CallOutcome> outcome = co_await promise->Wait(deadline);
  if (!outcome) {
    outcome = impl->EndCall(peer, id);
  }
  if (!outcome->error.empty()) {
    throw PeerError(outcome->error, outcome->sent, outcome->connection_refused);
  }
  co_return std::move(outcome->answer);
}

}  // namespace poplarmoor
