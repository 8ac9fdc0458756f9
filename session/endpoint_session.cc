#include "session/endpoint_session.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>

#include "net/address.h"
#include "session/boot_clock.h"
#include "session/session_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

using Kind = EndpointSessionError::Kind;

namespace {

constexpr size_t kMaxAnswerSize = 8 << 20;  // Largest answer in bytes; far above the usual size.

Kind KindOf(const boost::system::error_code& error) {
  return error == boost::beast::error::timeout ? Kind::kTimeout : Kind::kClosed;
}

}  // namespace

EndpointSession::EndpointSession(asio::any_io_executor executor,
                                 const SessionCodec* codec,
                                 std::string address)
    : codec(codec), address(std::move(address)), stream(std::move(executor)) {}

void EndpointSession::Fail(Kind kind, const std::string& message) {
  this->Close();
  throw EndpointSessionError(kind, message + " (" + this->address + ")");
}

asio::awaitable<StatementAnswer> EndpointSession::Open(std::string service,
                                                       std::string organisation,
                                                       std::string endpoint,
                                                       Duration limit) {
  boost::system::error_code error;
  this->stream.expires_after(limit);
  co_await this->stream.async_connect(ParseAddress(this->address),
                                      asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    this->Fail(error == boost::beast::error::timeout ? Kind::kTimeout : Kind::kRefused,
               "cannot connect: " + error.message());
  }
  this->open = true;
  this->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  // Closing resets the connection, also at a time limit: a statement that a partition holds up has
  // been given up then, and the endpoint would run it once the partition heals.
  this->stream.socket().set_option(asio::socket_base::linger(true, 0), error);
  const std::string opening_message = this->codec->EncodeOpen(service, organisation, endpoint);
  co_await asio::async_write(this->stream, asio::buffer(opening_message),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    this->Fail(KindOf(error), "cannot open the session: " + error.message());
  }
  StatementAnswer answer = co_await this->ReadAnswer(true);
  this->opened = BootNow();
  if (answer.error) {
    this->Close();
  }
  co_return answer;
}

asio::awaitable<std::vector<StatementAnswer>> EndpointSession::Exchange(
    std::vector<std::string> messages,
    Duration limit) {
  boost::system::error_code error;
  if (!this->open) {
    this->Fail(Kind::kClosed, "the connection was closed");
  }
  this->stream.expires_after(limit);
  std::string batch;
  for (const std::string& message : messages) {
    batch += message;
  }
  co_await asio::async_write(this->stream, asio::buffer(batch),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    this->Fail(KindOf(error), "cannot send: " + error.message());
  }
  std::vector<StatementAnswer> answers;
  for (size_t count = 0; count < messages.size(); ++count) {
    answers.push_back(co_await this->ReadAnswer(false));
  }
  co_return answers;
}

asio::awaitable<StatementAnswer> EndpointSession::ReadAnswer(bool opening) {
  StatementAnswer answer;
  size_t received = 0;
  for (;;) {
    boost::system::error_code error;
    const size_t size = co_await asio::async_read_until(
        this->stream, asio::dynamic_buffer(this->buffer, this->codec->max_message()), "\r\n",
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      this->Fail(KindOf(error), "no complete answer: " + error.message());
    }
    EndpointLine line =
        this->codec->DecodeEndpoint(std::string_view(this->buffer).substr(0, size - 2));
    this->buffer.erase(0, size);
    received += size;
    switch (line.kind) {
      case EndpointLine::Kind::kRow:
        answer.rows.push_back(std::move(line.text));
        break;
      case EndpointLine::Kind::kComplete:
        answer.signature = std::move(line.text);
        break;
      case EndpointLine::Kind::kError:
        answer.error = line.error;
        answer.error_text = std::move(line.text);
        if (opening) {
          co_return answer;  // The endpoint closes the connection and sends no kReady line.
        }
        break;
      case EndpointLine::Kind::kReady:
        answer.state = line.state;
        answer.position = line.position;
        if (!opening && !answer.error && answer.signature.empty()) {
          this->Fail(Kind::kProtocol, "the endpoint sent an answer without a result");
        }
        co_return answer;
      case EndpointLine::Kind::kMalformed:
        this->Fail(Kind::kProtocol, "the endpoint sent a malformed line");
    }
    if (received > kMaxAnswerSize) {
      this->Fail(Kind::kProtocol, "the endpoint's answer exceeds the size limit");
    }
  }
}

bool EndpointSession::IsReusable() {
  if (!this->open || !this->buffer.empty()) {
    return false;
  }
  char byte = 0;
  const ssize_t count =
      ::recv(this->stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void EndpointSession::Close() {
  this->open = false;
  this->stream.close();
}

}  // namespace poplarmoor
