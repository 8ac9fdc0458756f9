#include "net/peer_connection.h"

#include "net/traffic_counter.h"

#include <openssl/rand.h>
#include <algorithm>
#include <boost/asio.hpp>
#include <cstring>

#include "net/address.h"
#include "net/key_ring.h"
#include "net/now.h"
#include "wire/msgpack_fields.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kHandshakeTimeout{2000};
constexpr size_t kMaxHandshakeMessage = 4 << 10;  // Size limit of a handshake message in bytes.
// Limit on the bytes that are queued for sending on a connection. The connection is closed when the
// queue would exceed this limit, because the peer reads too slowly or not at all.
constexpr size_t kMaxOutput = 64 << 20;
// Size in bytes from which on a write takes no further frames, so that urgent ones do not wait for
// a long write.
constexpr size_t kMaxBatch = 16 << 10;
// Smallest number of bytes by which a read buffer grows. A buffer grows when its free space is less
// than half of kReadSize.
constexpr size_t kReadSize = 4 << 10;
// Maximum size in bytes of a read buffer that is kept while it holds no unprocessed data. Larger
// buffers are freed.
constexpr size_t kMaxKeptBuffer = 64 << 10;
constexpr size_t kNonceSize = 16;  // Size of a handshake nonce in bytes.

std::string MakeNonce() {
  std::string nonce(kNonceSize, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), kNonceSize) != 1) {
    throw std::runtime_error("cannot get random bytes");
  }
  return nonce;
}

/// Key id of a handshake, and the names and nonces of both daemons. The client is the daemon that
/// opens the connection; the server is the daemon that accepts it.
struct Handshake {
  std::string key_id;
  std::string client;
  std::string client_nonce;
  std::string server;
  std::string server_nonce;

  /// Computes the MAC that the side with the given role, "client" or "server", sends. The MAC
  /// covers the role, so that the other side cannot send the same MAC back. It covers the length of
  /// each part, so that two different handshakes never have the same authenticated bytes.
  std::string Mac(const KeyRing& keys, const std::string& role) const {
    return keys.Mac(this->key_id, this->MacInput(role));
  }

  bool Verify(const KeyRing& keys, const std::string& role, const std::string& mac) const {
    return keys.Verify(this->key_id, this->MacInput(role), mac);
  }

  std::string MacInput(const std::string& role) const {
    std::string bytes;
    for (const std::string* part :
         {&role, &this->client, &this->client_nonce, &this->server, &this->server_nonce}) {
      bytes += std::to_string(part->size()) + ":" + *part;
    }
    return bytes;
  }
};

std::string PackHandshakeMessage(const char* type,
                                 const std::string& daemon,
                                 const std::string& key_id,
                                 const std::string& nonce,
                                 const std::string& mac) {
  MsgpackWriter writer(6);
  writer.Field("v", 1);
  writer.Field("type", type);
  writer.Field("daemon", std::string_view(daemon));
  writer.Field("key_id", std::string_view(key_id));
  writer.Bytes("nonce", nonce);
  writer.Bytes("mac", mac);
  return AddPeerLength(writer.Take());
}

std::string ReadField(const MsgpackFields& fields, const char* name) {
  std::string value(fields.String(name));
  if (value.empty()) {
    throw CodecError(name, "is missing from the handshake");
  }
  return value;
}

void CheckType(const MsgpackFields& fields, std::string_view type) {
  if (fields.String("type") != type) {
    throw CodecError("type", "expected " + std::string(type) + " in the handshake");
  }
}

}  // namespace

PeerConnection::PeerConnection(asio::ip::tcp::socket socket,
                               std::shared_ptr<TrafficCounter> traffic)
    : socket(std::move(socket)),
      handshake_timer(this->socket.get_executor()),
      traffic(std::move(traffic)) {}

void PeerConnection::StartHandshakeTimer() {
  this->handshake_timer.expires_after(kHandshakeTimeout);
  this->handshake_timer.async_wait([weak = this->weak_from_this()](const auto& error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->Close();
    }
  });
}

asio::awaitable<void> PeerConnection::Connect(std::string address,
                                              std::string daemon,
                                              const KeyRing* keys) {
  this->StartHandshakeTimer();
  this->remote_address = address;
  co_await this->socket.async_connect(ParseAddress(address), asio::use_awaitable);
  this->socket.set_option(asio::ip::tcp::no_delay(true));
  // Closing resets the connection, also when the process ends: bytes that a partition holds up
  // belong to calls that nobody waits for, and the peer would run them once the partition heals.
  this->socket.set_option(asio::socket_base::linger(true, 0));

  Handshake handshake{keys->current(), daemon, MakeNonce(), {}, {}};
  this->Send(PackHandshakeMessage("hello", daemon, handshake.key_id, handshake.client_nonce, ""));
  {
    const MsgpackFields fields(co_await this->ReadFrame(kMaxHandshakeMessage));
    CheckType(fields, "hello_ack");
    handshake.server = ReadField(fields, "daemon");
    handshake.server_nonce = ReadField(fields, "nonce");
    if (!handshake.Verify(*keys, "server", ReadField(fields, "mac"))) {
      throw std::runtime_error("handshake: the MAC of daemon '" + handshake.server +
                               "' is not valid");
    }
  }
  this->Send(PackHandshakeMessage("hello_done", daemon, handshake.key_id, handshake.client_nonce,
                                  handshake.Mac(*keys, "client")));
  this->peer_name = handshake.server;
  this->handshake_timer.cancel();
}

asio::awaitable<void> PeerConnection::Accept(std::string daemon, const KeyRing* keys) {
  this->StartHandshakeTimer();
  boost::system::error_code error;
  const auto endpoint = this->socket.remote_endpoint(error);
  this->remote_address = error ? "closed connection" : FormatAddress(endpoint);
  this->socket.set_option(asio::ip::tcp::no_delay(true), error);

  Handshake handshake{{}, {}, {}, daemon, MakeNonce()};
  {
    const MsgpackFields fields(co_await this->ReadFrame(kMaxHandshakeMessage));
    CheckType(fields, "hello");
    handshake.client = ReadField(fields, "daemon");
    handshake.client_nonce = ReadField(fields, "nonce");
    handshake.key_id = ReadField(fields, "key_id");
  }
  const std::string mac = handshake.Mac(*keys, "server");
  if (mac.empty()) {
    throw std::runtime_error("handshake: daemon '" + handshake.client + "' uses unknown key id '" +
                             handshake.key_id + "'");
  }
  this->Send(
      PackHandshakeMessage("hello_ack", daemon, handshake.key_id, handshake.server_nonce, mac));
  {
    const MsgpackFields fields(co_await this->ReadFrame(kMaxHandshakeMessage));
    CheckType(fields, "hello_done");
    if (!handshake.Verify(*keys, "client", ReadField(fields, "mac"))) {
      throw std::runtime_error("handshake: the MAC of daemon '" + handshake.client +
                               "' is not valid");
    }
  }
  this->peer_name = handshake.client;
  this->handshake_timer.cancel();
}

asio::awaitable<std::string_view> PeerConnection::ReadFrame(size_t max_size) {
  while (true) {
    const size_t available = this->filled - this->consumed;
    if (available >= kPeerLengthSize) {
      const uint32_t length =
          ReadPeerLength(std::string_view(this->input).substr(this->consumed, kPeerLengthSize));
      if (length > max_size) {
        throw CodecError("", "message of " + std::to_string(length) +
                                 " bytes exceeds the limit of " + std::to_string(max_size));
      }
      if (available >= kPeerLengthSize + length) {
        const std::string_view frame(this->input.data() + this->consumed + kPeerLengthSize, length);
        this->consumed += kPeerLengthSize + length;
        co_return frame;
      }
    }
    if (this->consumed > 0) {
      std::memmove(this->input.data(), this->input.data() + this->consumed, available);
      this->consumed = 0;
      this->filled = available;
    }
    if (this->filled == 0 && this->input.size() > kMaxKeptBuffer) {
      this->input.clear();
      this->input.shrink_to_fit();
    }
    if (this->input.size() - this->filled < kReadSize / 2) {
      // Doubles the buffer, so that a large frame is copied only a few times while it arrives.
      this->input.resize(this->filled + std::max(kReadSize, this->filled));
    }
    boost::system::error_code error;
    const size_t count = co_await this->socket.async_read_some(
        asio::buffer(this->input.data() + this->filled, this->input.size() - this->filled),
        asio::redirect_error(asio::use_awaitable, error));
    this->filled += count;
    if (error) {
      throw boost::system::system_error(error);
    }
    this->traffic->received += count;
    this->received_at = Now().time_since_epoch().count();
  }
}

asio::awaitable<PeerFrame> PeerConnection::Receive() {
  co_return DecodePeerFrame(co_await this->ReadFrame(kMaxPeerFrame));
}

void PeerConnection::Send(std::string bytes, bool urgent) {
  bool is_full = false;
  {
    std::lock_guard lock(this->mutex);
    if (this->closed) {
      return;
    }
    is_full = this->output_size + bytes.size() > kMaxOutput;
    if (!is_full) {
      this->output_size += bytes.size();
      if (urgent) {
        this->urgent_output += bytes;
      } else {
        this->output.push_back(std::move(bytes));
      }
      if (this->writing) {
        return;
      }
      this->writing = true;
    }
  }
  if (is_full) {
    this->Close();
    return;
  }
  asio::co_spawn(
      this->socket.get_executor(), [self = this->shared_from_this()] { return self->WriteQueue(); },
      asio::detached);
}

std::string PeerConnection::TakeBatch() {
  std::string batch = std::exchange(this->urgent_output, {});
  while (!this->output.empty() && batch.size() < kMaxBatch) {
    batch += this->output.front();
    this->output.pop_front();
  }
  this->output_size -= batch.size();
  return batch;
}

asio::awaitable<void> PeerConnection::WriteQueue() {
  std::string batch;
  while (true) {
    {
      std::lock_guard lock(this->mutex);
      if (this->output_size == 0 || this->closed) {
        this->writing = false;
        co_return;
      }
      batch = this->TakeBatch();
    }
    boost::system::error_code error;
    co_await asio::async_write(this->socket, asio::buffer(batch),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      this->Close();
    }
    this->traffic->sent += batch.size();
  }
}

void PeerConnection::Close() {
  {
    std::lock_guard lock(this->mutex);
    if (this->closed) {
      return;
    }
    this->closed = true;
    this->urgent_output.clear();
    this->output.clear();
    this->output_size = 0;
  }
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    boost::system::error_code ignored;
    self->handshake_timer.cancel();
    self->socket.close(ignored);
  });
}

}  // namespace poplarmoor
