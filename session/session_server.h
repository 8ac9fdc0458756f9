#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "kernel/time.h"

namespace poplarmoor {

class CallerSession;
class Cluster;
class LimitService;
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

  /// Sets what limits the operations of the sessions' organisations; without it nothing does.
  /// @param service Must outlive this object.
  void SetLimits(LimitService* service) { this->limits = service; }

  /// Sets a function that is called for each new session before it is served. Tests use it to set
  /// the session's organisation.
  void SetSessionHook(std::function<void(CallerSession*)> hook) {
    this->session_hook = std::move(hook);
  }

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

  /// @returns Number of open sessions.
  size_t size() const { return this->sessions.size(); }

 private:
  boost::asio::awaitable<void> Accept(size_t max_sessions);

  boost::asio::any_io_executor executor;
  Cluster* cluster;
  StatementRunner* runner;
  const SessionCodec* codec;
  LimitService* limits = nullptr;
  std::function<void(CallerSession*)> session_hook;
  boost::asio::ip::tcp::acceptor acceptor;
  std::map<uint64_t, std::shared_ptr<CallerSession>> sessions;  // Open sessions by session number.
  uint64_t next_number = 1;
};

}  // namespace poplarmoor
