#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "session/statement_answer.h"

namespace poplarmoor {

class SessionCodec;

/// Failure of a connection to an endpoint. The connection is already closed when this is thrown.
class EndpointSessionError : public std::runtime_error {
 public:
  enum class Kind {
    kRefused,   // The connection could not be established.
    kClosed,    // The endpoint closed the connection.
    kTimeout,   // The endpoint did not answer within the time limit.
    kProtocol,  // The answer violates the session protocol.
  };

  EndpointSessionError(Kind kind, const std::string& message)
      : std::runtime_error(message), kind(kind) {}

  Kind kind;
};

/// One connection to an endpoint; its messages follow the session protocol.
class EndpointSession {
 public:
  /// @param executor Executor of the I/O thread.
  /// @param codec Session protocol; must outlive this object.
  /// @param address Address of the endpoint, "IP:port".
  EndpointSession(boost::asio::any_io_executor executor,
                  const SessionCodec* codec,
                  std::string address);

  /// Connects and sends the opening message.
  /// @param service Service that the endpoint must belong to.
  /// @param organisation Organisation whose statements the connection will carry; empty: none.
  /// @param endpoint Id that the endpoint must have.
  /// @param limit Time limit for establishing the connection and receiving the answer together.
  /// @returns The endpoint's answer to the opening message. If it is an error, the connection has
  ///     been closed.
  /// @throws EndpointSessionError.
  boost::asio::awaitable<StatementAnswer> Open(std::string service,
                                               std::string organisation,
                                               std::string endpoint,
                                               Duration limit);

  /// Sends all messages in one write and reads an answer to each.
  /// @param messages Encoded messages.
  /// @param limit Time limit of the whole exchange.
  /// @returns One answer for each message.
  /// @throws EndpointSessionError; the endpoint may have executed any of the messages.
  boost::asio::awaitable<std::vector<StatementAnswer>> Exchange(std::vector<std::string> messages,
                                                                Duration limit);

  /// @returns Whether the connection is open and nothing has arrived since the last answer, neither
  ///     data nor a close.
  bool IsReusable();

  /// Resets the connection: what has not reached the endpoint is lost.
  void Close();

  bool is_open() const { return this->open; }

  /// @returns When the endpoint accepted the connection; not set before Open() has returned.
  TimePoint opened_at() const { return this->opened; }

 private:
  boost::asio::awaitable<StatementAnswer> ReadAnswer(bool opening);
  [[noreturn]] void Fail(EndpointSessionError::Kind kind, const std::string& message);

  const SessionCodec* codec;
  std::string address;
  boost::beast::tcp_stream stream;
  std::string buffer;
  bool open = false;
  TimePoint opened;
};

}  // namespace poplarmoor
