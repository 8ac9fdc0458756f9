#include "session/caller_stream.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "net/address.h"
#include "session/boot_clock.h"
#include "session/caller_limits.h"
#include "telemetry/close_reporter.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Size in bytes of the read buffer, which all sessions of the thread share.
constexpr size_t kReadSize = 16 << 10;
// Largest capacity in bytes of an empty buffer that a connection keeps.
constexpr size_t kMaxKeptBuffer = 1 << 10;
// Largest number of bytes that are discarded after the last answer, and the time for it.
constexpr size_t kMaxDiscarded = 16 << 20;
constexpr Duration kDiscardLimit = 2s;

// The buffer of the thread's sessions. Its content is used before the next suspension.
std::array<char, kReadSize>& ReadChunk() {
  static thread_local std::array<char, kReadSize> chunk;
  return chunk;
}

}  // namespace

CallerStream::CallerStream(asio::ip::tcp::socket socket,
                           std::shared_ptr<CallerLimits> limits,
                           size_t max_message)
    : socket(std::move(socket)),
      timer(this->socket.get_executor()),
      limits(std::move(limits)),
      max_message(max_message),
      share(&this->limits->messages) {
  boost::system::error_code error;
  this->socket.set_option(asio::ip::tcp::no_delay(true), error);
  this->socket.non_blocking(true, error);
  const auto endpoint = this->socket.remote_endpoint(error);
  if (!error) {
    this->client = FormatAddress(endpoint);
  }
}

std::optional<std::string> CallerStream::TakeLine() {
  const size_t end = this->buffer.find("\r\n", std::max(this->scanned, this->consumed));
  if (end == std::string::npos) {
    // The last byte may be the first one of a line's end.
    this->scanned = this->buffer.empty() ? 0 : this->buffer.size() - 1;
    if (this->buffer.size() - this->consumed > this->max_message) {
      this->exceeded_limit = CloseReason::kTooLarge;
      this->Report(CloseReason::kTooLarge);
    }
    return std::nullopt;
  }
  this->message_began.reset();
  std::string line;
  if (this->consumed == 0 && end + 2 == this->buffer.size()) {
    line = std::move(this->buffer);
    line.resize(end);
    this->buffer = std::string();
    this->scanned = 0;
  } else {
    line = this->buffer.substr(this->consumed, end - this->consumed);
    this->consumed = end + 2;
    this->scanned = this->consumed;
  }
  return line;
}

void CallerStream::Compact() {
  if (!this->empty()) {
    this->buffer.erase(0, this->consumed);
  } else if (this->buffer.capacity() > kMaxKeptBuffer) {
    this->buffer = std::string();
  } else {
    this->buffer.clear();
  }
  this->scanned -= std::min(this->scanned, this->consumed);
  this->consumed = 0;
  this->share.Resize(this->buffer.size());
}

asio::awaitable<bool> CallerStream::Receive() {
  this->Compact();
  const bool begun = !this->buffer.empty();
  if (begun) {
    if (!this->message_began) {
      this->message_began = BootNow();
    }
    this->StartTimer(*this->message_began + this->limits->read_timeout - BootNow(),
                     CloseReason::kReadTimeout);
  }
  boost::system::error_code error;
  co_await this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                   asio::redirect_error(asio::use_awaitable, error));
  if (begun) {
    this->StopTimer();
  }
  if (error) {
    co_return false;
  }
  std::array<char, kReadSize>& chunk = ReadChunk();
  const size_t size = this->socket.read_some(asio::buffer(chunk), error);
  if (error) {
    co_return error == asio::error::would_block;
  }
  if (!this->share.Resize(this->buffer.size() + size)) {
    this->exceeded_limit = CloseReason::kBufferBudget;
    this->Report(CloseReason::kBufferBudget);
    co_return false;
  }
  this->buffer.append(chunk.data(), size);
  co_return true;
}

asio::awaitable<bool> CallerStream::Write(std::string text) {
  const size_t unread = this->buffer.size() - this->consumed;
  if (!this->share.Resize(unread + text.size())) {
    this->Report(CloseReason::kBufferBudget);
    co_return false;
  }
  boost::system::error_code error;
  const size_t sent = this->socket.write_some(asio::buffer(text), error);
  if (error && error != asio::error::would_block) {
    co_return false;
  }
  if (sent < text.size()) {
    error.clear();
    this->StartTimer(this->limits->write_timeout, CloseReason::kWriteTimeout);
    co_await asio::async_write(this->socket, asio::buffer(text) + sent,
                               asio::redirect_error(asio::use_awaitable, error));
    this->StopTimer();
  }
  this->share.Resize(unread);
  co_return !error;
}

asio::awaitable<void> CallerStream::WriteLast(std::string text) {
  this->buffer = std::string();
  this->consumed = 0;
  this->scanned = 0;
  if (!co_await this->Write(std::move(text))) {
    co_return;
  }
  boost::system::error_code error;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  const TimePoint end = BootNow() + kDiscardLimit;
  for (size_t discarded = 0; !error && discarded < kMaxDiscarded && BootNow() < end;) {
    this->timer.expires_after(end - BootNow());
    this->timer.async_wait([this, weak = std::weak_ptr<uint64_t>(this->period)](auto failure) {
      if (!failure && weak.lock() != nullptr) {
        this->Cancel();
      }
    });
    co_await this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                     asio::redirect_error(asio::use_awaitable, error));
    this->timer.cancel();
    if (!error) {
      discarded += this->socket.read_some(asio::buffer(ReadChunk()), error);
      if (error == asio::error::would_block) {
        error.clear();
      }
    }
  }
}

void CallerStream::Cancel() {
  boost::system::error_code ignored;
  this->socket.cancel(ignored);
}

void CallerStream::Close() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void CallerStream::StartTimer(Duration limit, CloseReason reason) {
  const uint64_t number = ++*this->period;
  this->timer.expires_after(limit);
  this->timer.async_wait([this, number, reason, weak = std::weak_ptr<uint64_t>(this->period)](
                             const boost::system::error_code& error) {
    const auto current = weak.lock();
    if (!error && current != nullptr && *current == number) {
      this->Report(reason);
      this->Cancel();
    }
  });
}

void CallerStream::StopTimer() {
  ++*this->period;
  this->timer.cancel();
}

void CallerStream::Report(CloseReason reason) {
  if (this->limits->closes != nullptr) {
    this->limits->closes->Report("callers", reason, this->client);
  }
}

}  // namespace poplarmoor
