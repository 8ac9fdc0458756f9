#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "cli/io_runner.h"
#include "net/http_client.h"
#include "net/platform_client.h"

namespace poplarmoor {

/// Makes blocking calls to the platform for the command line. A call that fails throws
/// PlatformError.
class PlatformSession {
 public:
  /// @param address "IP:port" of the platform.
  /// @param timeout Time limit of a call.
  PlatformSession(const std::string& address, std::chrono::milliseconds timeout)
      : client(this->runner.Executor()), platform(&this->client, address, timeout) {}

  std::optional<PlatformObject> Get(const std::string& kind, const std::string& name) {
    return this->runner.Run(this->platform.Get(kind, name));
  }

  PlatformSnapshot List(const std::string& kind) {
    return this->runner.Run(this->platform.List(kind));
  }

  PlatformObject Put(const std::string& kind,
                     const std::string& name,
                     const std::string& value,
                     uint64_t if_version) {
    return this->runner.Run(this->platform.Put(kind, name, value, if_version));
  }

 private:
  IoRunner runner;
  HttpClient client;
  PlatformClient platform;
};

}  // namespace poplarmoor
