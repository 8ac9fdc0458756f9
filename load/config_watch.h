#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/time.h"
#include "net/http_client.h"

namespace poplarmoor {

/// Measures how long a new configuration revision takes from the first daemon that has it to the
/// last one. Runs on one thread.
class ConfigWatch {
 public:
  /// @param context I/O context of the tool.
  /// @param operators Operators' listeners of all daemons, "IP:port".
  /// @param token Operators' bearer token.
  ConfigWatch(boost::asio::io_context& context,
              std::vector<std::string> operators,
              std::string token);

  /// Starts to poll every daemon.
  void Start();

  /// Notes the revision that a daemon has.
  /// @param daemon Address of the daemon.
  /// @param revision Its configuration revision.
  /// @param now Time since any fixed point.
  void Observe(const std::string& daemon, uint64_t revision, Duration now);

  /// @returns One duration for each revision that all daemons have reached.
  const std::vector<Duration>& times() const { return this->in_force; }

 private:
  boost::asio::awaitable<void> Poll(std::string daemon);

  boost::asio::io_context& context;
  std::vector<std::string> operators;
  std::string token;
  HttpClient client;
  std::map<std::string, uint64_t> revisions;  // By daemon.
  std::map<uint64_t, Duration> first_seen;    // Revisions that not all daemons have, by revision.
  std::vector<Duration> in_force;
};

}  // namespace poplarmoor
