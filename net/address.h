#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace poplarmoor {

/// Parses an "IP:port" address.
/// @param text For example "127.0.0.1:7001".
/// @returns The endpoint.
/// @throws std::runtime_error when the text is malformed; the message contains the text.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text);

/// @param endpoint A TCP endpoint.
/// @returns "IP:port".
std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace poplarmoor
