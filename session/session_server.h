#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "kernel/time.h"

namespace poplarmoor {

class CallerSession;
class Cluster;
class SessionCodec;
class StatementRunner;

/// Accepts callers' connections, runs their sessions and ends them gracefully.
class SessionServer {
 public:
  /// @param cluster,runner,codec Must outlive this object.
  SessionServer(boost::asio::any_io_executor executor,
                Cluster* cluster,
                StatementRunner* runner,
                const SessionCodec* codec);

  /// Starts to listen.
  /// @param address Address to listen on, "IP:port".
  /// @param max_sessions Limit of open sessions; further connections are closed immediately.
  /// @throws std::runtime_error when the server cannot listen, for example because the address is
  ///     in use.
  void Listen(const std::string& address, size_t max_sessions);

  /// Stops accepting connections. Each session is closed as soon as it has neither an unanswered
  /// request nor an open transaction.
  /// @param answer_by Time by which later requests are answered, even if their time limit is
  /// longer.
  void Drain(TimePoint answer_by);

  /// Rolls back the sessions' open transactions; those in which a statement is running follow after
  /// its answer.
  void EndTransactions();

  /// Rolls back the open transactions of the sessions whose API key the configuration in force has
  /// withdrawn. Called after each change of the configuration.
  void EndWithdrawnTransactions();

  /// @returns Number of open sessions.
  size_t size() const { return this->sessions.size(); }

 private:
  boost::asio::awaitable<void> Accept(size_t max_sessions);

  boost::asio::any_io_executor executor;
  Cluster* cluster;
  StatementRunner* runner;
  const SessionCodec* codec;
  boost::asio::ip::tcp::acceptor acceptor;
  std::map<uint64_t, std::shared_ptr<CallerSession>> sessions;  // Open sessions by session number.
  uint64_t next_number = 1;
};

}  // namespace poplarmoor
