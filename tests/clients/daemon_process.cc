#include "tests/clients/daemon_process.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include "net/address.h"
#include "net/http_connection.h"
#include "net/http_message.h"
#include "tests/standins/blocking_client.h"

namespace poplarmoor {

namespace {

namespace asio = boost::asio;

// Options of the address sanitizer in the daemon. A quarantine would keep freed memory resident.
constexpr char kSanitizerOptions[] =
    "ASAN_OPTIONS=quarantine_size_mb=0:thread_local_quarantine_size_kb=0:malloc_context_size=2:"
    "allocator_release_to_os_interval_ms=0";
constexpr std::chrono::seconds kReadyLimit{60};
// The child closes all descriptors below this number that it inherits.
constexpr int kInheritedDescriptors = 1024;
// The queued bytes of the sockets must be unchanged this many times, 100 ms apart, before the
// daemon counts as reading no further.
constexpr int kUnchangedSamples = 20;
constexpr int kMaxSamples = 600;

// Returns the bytes that wait in the receive queues of the sockets with a local port.
size_t QueuedBytes(uint16_t port) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);  // Heading.
  size_t total = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const bool established = state == "01" || state == "08";
    if (established && std::stoul(local.substr(local.find(':') + 1), nullptr, 16) == port) {
      total += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
  }
  return total;
}

}  // namespace

DaemonProcess::DaemonProcess(const std::string& program,
                             const std::map<std::string, std::string>& files,
                             size_t max_descriptors) {
  this->directory = (std::filesystem::temp_directory_path() / "poplarmoor-clients-XXXXXX").string();
  if (mkdtemp(this->directory.data()) == nullptr) {
    throw std::runtime_error("cannot create a directory for the daemon");
  }
  for (const auto& [name, text] : files) {
    const std::string path = this->directory + "/" + name;
    std::ofstream(path) << text;
    std::filesystem::permissions(path, std::filesystem::perms(0600));
  }
  const std::string path = std::string(BINARY_DIR) + "/" + program;
  const std::string settings = this->directory + "/settings";
  const std::string log = this->directory + "/daemon.log";
  const std::vector<const char*> arguments{path.c_str(), "--settings", settings.c_str(), nullptr};
  std::vector<const char*> environment{kSanitizerOptions};
  for (char** variable = environ; *variable != nullptr; ++variable) {
    environment.push_back(*variable);
  }
  environment.push_back(nullptr);
  this->pid = fork();
  if (this->pid == 0) {
    // Other threads of this program may hold locks, so only system calls are allowed here.
    if (max_descriptors > 0) {
      const rlimit limit{max_descriptors, max_descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    const int output = open(log.c_str(), O_WRONLY | O_CREAT, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    for (int descriptor = STDERR_FILENO + 1; descriptor < kInheritedDescriptors; ++descriptor) {
      close(descriptor);
    }
    execve(path.c_str(), const_cast<char**>(arguments.data()),
           const_cast<char**>(environment.data()));
    _exit(127);
  }
}

DaemonProcess::~DaemonProcess() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->directory, ignored);
}

void DaemonProcess::AwaitReady(const std::string& address, const std::string& path) {
  const auto limit = std::chrono::steady_clock::now() + kReadyLimit;
  while (this->IsAlive() && std::chrono::steady_clock::now() < limit) {
    try {
      BlockingClient client(address);
      if (client.Send("GET", path, "").status == 200) {
        return;
      }
    } catch (const HttpError&) {
      // The daemon does not listen yet.
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  throw std::runtime_error("the daemon is not ready:\n" + this->ReadLog());
}

void DaemonProcess::AwaitListening(const std::string& address) const {
  const auto limit = std::chrono::steady_clock::now() + kReadyLimit;
  boost::system::error_code error = asio::error::connection_refused;
  while (error && std::chrono::steady_clock::now() < limit) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(ParseAddress(address), error);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  if (error) {
    throw std::runtime_error("the daemon does not listen at " + address + ":\n" + this->ReadLog());
  }
}

bool DaemonProcess::IsAlive() const {
  return waitpid(this->pid, nullptr, WNOHANG) == 0;
}

size_t DaemonProcess::Descriptors() const {
  size_t count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(this->pid) + "/fd")) {
    ++count;
  }
  return count;
}

void DaemonProcess::AwaitReceived(uint16_t port) const {
  size_t last = 0;
  for (int sample = 0, unchanged = 0; sample < kMaxSamples && unchanged < kUnchangedSamples;
       ++sample) {
    const size_t queued = QueuedBytes(port);
    unchanged = queued == last ? unchanged + 1 : 0;
    last = queued;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

std::string DaemonProcess::ReadLog() const {
  std::ifstream file(this->directory + "/daemon.log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

size_t DaemonProcess::ReadStatus(const std::string& field) const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
  std::string word;
  while (file >> word) {
    if (word == field) {
      size_t kibibytes = 0;
      file >> kibibytes;
      return kibibytes << 10;
    }
  }
  throw std::runtime_error("the daemon has no " + field + " any more:\n" + this->ReadLog());
}

std::string FindFreeAddress() {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return FormatAddress(acceptor.local_endpoint());
}

uint16_t PortOf(const std::string& address) {
  return ParseAddress(address).port();
}

}  // namespace poplarmoor
