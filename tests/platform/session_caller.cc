#include "tests/platform/session_caller.h"

namespace poplarmoor::platform {

namespace asio = boost::asio;

std::string SessionCaller::Receive() {
  bool closed = false;
  std::string answer;
  this->fixture->RunUntil([&] {
    const size_t ready = this->buffer.find("READY ");
    const size_t end = ready == std::string::npos ? ready : this->buffer.find("\r\n", ready);
    if (end != std::string::npos) {
      this->state = this->buffer.substr(ready + 6, 1);
      answer = this->buffer.substr(0, ready);
      this->buffer.erase(0, end + 2);
      return true;
    }
    if (closed) {
      answer = this->buffer;
      return true;
    }
    char bytes[4096];
    boost::system::error_code error;
    this->socket.non_blocking(true);
    const size_t size = this->socket.read_some(asio::buffer(bytes), error);
    this->buffer.append(bytes, size);
    closed = error && error != asio::error::would_block;
    return false;
  });
  return answer;
}

}  // namespace poplarmoor::platform
