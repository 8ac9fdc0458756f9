#pragma once

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "net/address.h"
#include "tests/platform/session_fixture.h"

namespace poplarmoor::platform {

/// A caller's connection to the daemon.
class SessionCaller {
 public:
  /// @param database Database that the caller opens.
  SessionCaller(SessionFixture* fixture, const std::string& database)
      : fixture(fixture), socket(fixture->context) {
    this->socket.connect(ParseAddress(fixture->address));
    this->Send("OPEN " + database + " caller");
  }

  void Send(const std::string& line) {
    boost::asio::write(this->socket, boost::asio::buffer(line + "\r\n"));
  }

  /// Reads the daemon's answer up to its READY line.
  /// @returns The text before that line, or all text if the connection is closed first.
  std::string Receive();

  std::string Query(const std::string& text) {
    this->Send("QUERY q" + std::to_string(++this->number) + " " + text);
    return this->Receive();
  }

  void Close() { this->socket.close(); }

  SessionFixture* fixture;
  boost::asio::ip::tcp::socket socket;
  std::string buffer;
  std::string state;
  int number = 0;
};

}  // namespace poplarmoor::platform
