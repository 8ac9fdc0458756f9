#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace poplarmoor {

/// Many client connections to one listener, driven by one thread without blocking.
class ClientCrowd {
 public:
  /// Opens the connections. One that the daemon refuses counts as closed.
  /// @param address Address of the listener, "IP:port".
  /// @param small_receive_buffer Whether the clients take only few bytes that they do not read.
  ClientCrowd(const std::string& address, size_t clients, bool small_receive_buffer = false);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Sends `bytes` on every connection, in turns. Returns when all connections have sent them or
  /// are closed, or when the daemon takes no bytes for 3 s.
  /// @param piece Largest number of bytes that a client sends at once.
  void Send(const std::string& bytes, size_t piece);

  /// Closes all connections.
  void Close();

 private:
  std::vector<int> sockets;  // -1: closed.
};

}  // namespace poplarmoor
