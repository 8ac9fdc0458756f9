#include "tests/clients/client_crowd.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <thread>

#include "net/address.h"

namespace poplarmoor {

namespace {

constexpr std::chrono::seconds kNoProgress{3};

}  // namespace

ClientCrowd::ClientCrowd(const std::string& address, size_t clients, bool small_receive_buffer) {
  const auto endpoint = ParseAddress(address);
  for (size_t i = 0; i < clients; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0) {
      throw std::runtime_error("the test has too few descriptors for its clients");
    }
    if (small_receive_buffer) {
      const int size = 4096;
      ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }
    if (::connect(socket, endpoint.data(), endpoint.size()) != 0) {
      ::close(socket);
      this->sockets.push_back(-1);
    } else {
      this->sockets.push_back(socket);
    }
  }
}

ClientCrowd::~ClientCrowd() {
  this->Close();
}

void ClientCrowd::Send(const std::string& bytes, size_t piece) {
  std::vector<size_t> sent(this->sockets.size(), 0);
  auto progress = std::chrono::steady_clock::now();
  bool left = true;
  while (left && std::chrono::steady_clock::now() - progress < kNoProgress) {
    left = false;
    bool moved = false;
    for (size_t i = 0; i < this->sockets.size(); ++i) {
      if (this->sockets[i] < 0 || sent[i] == bytes.size()) {
        continue;
      }
      const ssize_t count =
          ::send(this->sockets[i], bytes.data() + sent[i], std::min(piece, bytes.size() - sent[i]),
                 MSG_DONTWAIT | MSG_NOSIGNAL);
      if (count > 0) {
        sent[i] += static_cast<size_t>(count);
        moved = true;
      } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
        ::close(this->sockets[i]);
        this->sockets[i] = -1;
        continue;
      }
      left = left || sent[i] < bytes.size();
    }
    if (moved) {
      progress = std::chrono::steady_clock::now();
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }
}

void ClientCrowd::Close() {
  for (int& socket : this->sockets) {
    if (socket >= 0) {
      ::close(socket);
      socket = -1;
    }
  }
}

}  // namespace poplarmoor
