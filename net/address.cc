#include "net/address.h"

#include <charconv>
#include <stdexcept>

namespace poplarmoor {

boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw std::runtime_error("address '" + text + "' is not of the form IP:port");
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
  unsigned port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(first, last, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != last || port > 65535) {
    throw std::runtime_error("address '" + text + "' is not of the form IP:port");
  }
  return {ip, static_cast<unsigned short>(port)};
}

std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace poplarmoor
