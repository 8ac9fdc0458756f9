#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "kernel/delivery_delay.h"
#include "session/access_control.h"
#include "session/endpoint_pool.h"

namespace poplarmoor {

class Cluster;
class PeerNetwork;
struct PeerMessage;
struct RelayAnswer;
struct RelayRequest;

/// Gateway side of relaying: runs statements of other daemons on this daemon's connections.
class RelayServer {
 public:
  /// @param cluster Must outlive this object.
  RelayServer(boost::asio::any_io_executor executor, Cluster* cluster);

  /// Registers the handlers of relay messages from other daemons.
  void RegisterHandlers(PeerNetwork* network);

  /// Prepares for a planned stop of the daemon: new statements and transactions of other daemons
  /// are refused as not run, so that these daemons use another gateway. Open transactions go on.
  void Drain() { this->draining = true; }

  /// Rolls back the open transactions of other daemons; those in which a statement is running
  /// follow after its answer.
  void EndTransactions();

  /// @returns Number of statements of other daemons that run and of their open transactions.
  size_t in_progress() const { return this->running + this->transactions.size(); }

  /// Rolls back each relayed transaction that has been idle for longer than the idle limit of
  /// transactions plus a grace period: the daemon that sends the transaction's statements must have
  /// died. To be called regularly.
  void EndOrphanedTransactions();

  /// Rolls back the relayed transactions whose API key the configuration in force has withdrawn.
  /// Called after each change of the configuration.
  void EndWithdrawnTransactions();

 private:
  struct LeasedConnection {
    std::shared_ptr<EndpointPool> pool;
    EndpointLease lease;
    RelayedAccess access;  // Access of the transaction's last statement.
    TimePoint last_used;
    bool busy = false;
  };

  boost::asio::awaitable<PeerMessage> OnStatement(std::string from, PeerMessage message);
  boost::asio::awaitable<PeerMessage> OnEnd(PeerMessage message);
  boost::asio::awaitable<PeerMessage> OnOrder(PeerMessage message);
  // @param left Time at which the request left the sender, at the latest.
  // @param deadline Time after which the request's sender no longer waits for an answer.
  boost::asio::awaitable<RelayAnswer> Run(const RelayRequest& request,
                                          TimePoint left,
                                          TimePoint deadline);
  // Leases one of this daemon's connections for a relayed statement. The wait ends when the
  // configuration withdraws the statement's API key.
  boost::asio::awaitable<EndpointLease> Acquire(std::shared_ptr<EndpointPool> pool,
                                                const RelayRequest& request,
                                                const RelayedAccess& access,
                                                Duration limit);
  // Returns the answer that refuses a statement because of its API key, or nothing.
  std::optional<RelayAnswer> Refuse(const RelayRequest& request, const RelayedAccess& access);
  // Ends the lease of a connection. If `roll_back` is true, first rolls back the connection's
  // transaction in the background.
  void EndLease(std::shared_ptr<EndpointPool> pool, EndpointLease lease, bool roll_back);

  boost::asio::any_io_executor executor;
  Cluster* cluster;
  // Connections leased to relayed transactions, by lease number. The entry of a transaction is
  // missing while one of its statements runs.
  std::map<uint64_t, LeasedConnection> transactions;
  DeliveryDelay delays;   // Delays of the requests of other daemons on their way.
  size_t running = 0;     // Number of statements of other daemons that run.
  bool draining = false;  // The daemon is about to stop.
  bool ending_transactions = false;
};

}  // namespace poplarmoor
