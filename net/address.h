#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace poplarmoor {

/// Parses an "IP:port" address.
/// @param text IP address and port, for example "127.0.0.1:7001".
/// @returns The address and port as an Asio TCP endpoint.
/// @throws std::runtime_error when `text` is malformed; the error message contains `text`.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text);

/// @param endpoint IP address and port of a TCP socket.
/// @returns The address and port as text, "IP:port".
std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace poplarmoor
