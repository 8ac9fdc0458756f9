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

/// Measures how long each new configuration revision takes to reach all daemons: the time from the
/// first daemon's report of the revision to the last daemon's. Runs on one thread.
class ConfigWatch {
 public:
  /// @param context I/O context of the load tool.
  /// @param operators Addresses at which all daemons serve the operators' API, "IP:port" each.
  /// @param token Operators' bearer token.
  ConfigWatch(boost::asio::io_context& context,
              std::vector<std::string> operators,
              std::string token);

  /// Starts to poll every daemon.
  void Start();

  /// Records the configuration revision that a daemon reports.
  /// @param daemon Address of the daemon.
  /// @param revision Configuration revision that the daemon reports.
  /// @param now Time of the report, counted from a point in time that is the same for all calls.
  void Observe(const std::string& daemon, uint64_t revision, Duration now);

  /// @returns How long each configuration revision took to reach all daemons: the duration from the
  /// first daemon's report of the revision to the last daemon's. Lacks the revisions that some
  /// daemon has not reached yet.
  const std::vector<Duration>& times() const { return this->propagation_times; }

 private:
  boost::asio::awaitable<void> Poll(std::string daemon);

  boost::asio::io_context& context;
  std::vector<std::string> operators;
  std::string token;
  HttpClient client;
  // Latest revision that each daemon reported. Lacks the daemons whose last poll failed.
  std::map<std::string, uint64_t> revisions;
  // Time at which the first daemon reported that it has a revision (or a later one), by revision.
  // Counted from the epoch of the steady clock. Contains only revisions that at least one daemon
  // has not reported yet.
  std::map<uint64_t, Duration> first_seen;
  std::vector<Duration> propagation_times;
};

}  // namespace poplarmoor
