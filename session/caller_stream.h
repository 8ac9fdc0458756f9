#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "kernel/admission/buffer_budget.h"
#include "kernel/close_reason.h"
#include "kernel/time.h"

namespace poplarmoor {

struct CallerLimits;

/// Lines and answers on a caller's connection, within the limits of the callers.
class CallerStream {
 public:
  /// @param max_message Longest line, in bytes.
  CallerStream(boost::asio::ip::tcp::socket socket,
               std::shared_ptr<CallerLimits> limits,
               size_t max_message);

  /// Removes the next whole line from the received bytes. The bytes of the line stay reserved until
  /// the answer to it has been written.
  /// @returns The line without its end; nothing when the line is not complete yet.
  std::optional<std::string> TakeLine();

  /// Waits for bytes of the caller and reads them.
  /// @returns False when the connection has ended or a limit was exceeded; see exceeded().
  boost::asio::awaitable<bool> Receive();

  /// @returns The limit that the caller's message exceeds, if any.
  std::optional<CloseReason> exceeded() const { return this->exceeded_limit; }

  /// Sends an answer.
  /// @returns False when the caller has not taken all of it; the connection must then be closed.
  boost::asio::awaitable<bool> Write(std::string text);

  /// Sends the last answer, and reads and discards for a short time what the caller still sends:
  /// closing a socket with unread bytes would reset the connection and lose the answer.
  boost::asio::awaitable<void> WriteLast(std::string text);

  /// @returns Whether all received bytes have been taken.
  bool empty() const { return this->consumed == this->buffer.size(); }

  /// Ends a pending Receive() or Write().
  void Cancel();
  void Close();

  boost::asio::any_io_executor executor() { return this->socket.get_executor(); }

 private:
  void StartTimer(Duration limit, CloseReason reason);
  void StopTimer();
  void Report(CloseReason reason);
  // Removes the taken lines from the buffer, and releases a large buffer that is empty.
  void Compact();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::shared_ptr<CallerLimits> limits;
  size_t max_message;
  std::string client;  // Address of the caller, for the log.
  std::string buffer;
  size_t consumed = 0;  // Number of bytes at the start of the buffer that have been taken.
  size_t scanned = 0;   // Offset in the buffer before which no line ends.
  BufferShare share;
  std::optional<CloseReason> exceeded_limit;
  // Start of the message that is not complete yet; empty: none.
  std::optional<TimePoint> message_began;
  // Number of the timer's current period. A handler of an earlier period, or one that runs after
  // the destruction of this object, does nothing.
  std::shared_ptr<uint64_t> period = std::make_shared<uint64_t>(0);
};

}  // namespace poplarmoor
