#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace poplarmoor {

/// A daemon that runs as a child process. The destructor kills the process. The daemon is the one
/// of the same build as the test program; in a sanitizer build it runs without the allocator's
/// quarantine, so that freed memory does not count as resident.
class DaemonProcess {
 public:
  /// Starts the daemon; its output goes to the file daemon.log in its directory.
  /// @param program Name of the program in the build directory.
  /// @param files Files of the daemon's directory, by name; the file "settings" is passed to the
  ///     daemon as --settings.
  /// @param max_descriptors Limit of open descriptors that the process gets; 0: the limit of this
  ///     program.
  DaemonProcess(const std::string& program,
                const std::map<std::string, std::string>& files,
                size_t max_descriptors = 0);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Waits until a GET request gets an answer with status 200.
  /// @param address Address of the listener, "IP:port".
  /// @throws std::runtime_error when the process ends or is not ready after 60 s.
  void AwaitReady(const std::string& address, const std::string& path);

  /// Waits until a listener of the daemon accepts connections.
  /// @throws std::runtime_error when it does not within 60 s.
  void AwaitListening(const std::string& address) const;

  bool IsAlive() const;

  /// @returns Resident memory now, in bytes.
  size_t Resident() const { return this->ReadStatus("VmRSS:"); }

  /// @returns Largest resident memory since the start of the process, in bytes.
  size_t PeakResident() const { return this->ReadStatus("VmHWM:"); }

  /// @returns Number of open descriptors.
  size_t Descriptors() const;

  /// Waits until the process has taken all bytes that clients have sent to the port, or reads no
  /// further bytes because it refuses or delays the clients.
  /// @param port Port of a listener of the daemon on 127.0.0.1.
  void AwaitReceived(uint16_t port) const;

  /// @returns Content of the daemon's log.
  std::string ReadLog() const;

 private:
  size_t ReadStatus(const std::string& field) const;

  std::string directory;
  pid_t pid = -1;
};

/// @returns An address of 127.0.0.1 whose port was free during the call.
std::string FindFreeAddress();

/// @returns Port of an address "IP:port".
uint16_t PortOf(const std::string& address);

}  // namespace poplarmoor
