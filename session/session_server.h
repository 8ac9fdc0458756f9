#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "kernel/time.h"
#include "session/caller_limits.h"

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
  /// @param memory Memory of the VM, in bytes; the limits on the callers' bytes follow from it.
  SessionServer(boost::asio::any_io_executor executor,
                Cluster* cluster,
                StatementRunner* runner,
                const SessionCodec* codec,
                size_t memory = kDefaultMemory);

  /// Sets what limits the operations of the sessions' organisations; without it nothing does.
  /// @param service Must outlive this object.
  void SetLimits(LimitService* service) { this->limit_service = service; }

  /// Starts to listen.
  /// @param address Address to listen on, "IP:port".
  /// @param max_sessions Limit of open sessions. Beyond it, a new connection takes the place of
  ///     the oldest one without an opening message, or is closed immediately if there is none.
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

  /// Sets what counts and logs the connections that are closed for a limit.
  /// @param closes Must outlive this object.
  void SetCloseReporter(CloseReporter* closes) { this->limits->closes = closes; }

  /// @returns Bytes that are reserved for large messages and answers.
  size_t buffered_bytes() const { return this->limits->messages.Used(); }

  /// @returns Number of open sessions.
  size_t size() const { return this->sessions.size(); }

 private:
  // Memory of the smallest VM, in bytes.
  static constexpr size_t kDefaultMemory = 160 << 20;

  boost::asio::awaitable<void> Accept(size_t max_sessions);
  bool CloseUnopenedSession();

  boost::asio::any_io_executor executor;
  Cluster* cluster;
  StatementRunner* runner;
  const SessionCodec* codec;
  std::shared_ptr<CallerLimits> limits;
  LimitService* limit_service = nullptr;
  boost::asio::ip::tcp::acceptor acceptor;
  std::map<uint64_t, std::shared_ptr<CallerSession>> sessions;  // Open sessions by session number.
  uint64_t next_number = 1;
};

}  // namespace poplarmoor
