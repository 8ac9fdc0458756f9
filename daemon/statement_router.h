#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>

#include "daemon/routed_result.h"
#include "daemon/sharded.h"
#include "kernel/request_machine.h"
#include "kernel/service_settings.h"
#include "kernel/statement_request.h"
#include "net/mailbox.h"
#include "net/transaction_token.h"

namespace poplarmoor {

class ClusterView;
class OwnerService;
class PeerNetwork;
struct PeerInfo;
struct ServiceState;

/// Entry's side of a request: drives the RequestMachine and forwards the attempts to the owners.
/// Thread-safe. Coroutines that await its methods run on a strand each.
class StatementRouter : public std::enable_shared_from_this<StatementRouter> {
 public:
  /// @param daemon Name of this daemon, which needs no hop to its own owner role.
  /// @param view The control plane; must outlive this object.
  /// @param owner This daemon's owner role.
  /// @param peers Connections to the other daemons; must outlive this object.
  StatementRouter(std::string daemon,
                  ClusterView* view,
                  std::shared_ptr<OwnerService> owner,
                  PeerNetwork* peers);

  /// Runs a request outside transactions, or a begin.
  /// @param request Request with its deadline.
  /// @param settings Settings of its service.
  /// @param primary_required The session requires the primary.
  /// @returns The outcome, at the deadline at the latest.
  boost::asio::awaitable<RoutedResult> Run(StatementRequest request,
                                           ServiceSettings settings,
                                           bool primary_required);

  /// Sends a statement of a transaction, a commit or a rollback to the transaction's owner, once.
  /// @param request Request with the transaction's id at its owner.
  /// @param transaction What the transaction's token names.
  /// @returns The outcome.
  boost::asio::awaitable<RoutedResult> RunInTransaction(StatementRequest request,
                                                        TransactionToken transaction);

 private:
  using States = std::map<std::string, std::shared_ptr<ServiceState>>;

  /// End of one attempt.
  struct Event {
    int attempt = 0;
    bool answered = false;
    bool sent = false;  // When not answered: whether the request may have left this daemon.
    RoutedResult routed;
  };

  using Events = std::shared_ptr<Mailbox<Event>>;

  boost::asio::awaitable<void> RunAttempt(Events events,
                                          std::shared_ptr<ServiceState> state,
                                          StatementRequest request,
                                          RequestAction action);
  boost::asio::awaitable<StatementResult> Forward(const PeerInfo& owner,
                                                  StatementRequest request,
                                                  const std::string& endpoint,
                                                  uint64_t term);
  boost::asio::awaitable<std::optional<Event>> NextEvent(Events events,
                                                         std::shared_ptr<ServiceState> state,
                                                         TimePoint until);
  std::shared_ptr<ServiceState> FindState(const ServiceSettings& settings);
  bool Refresh(ServiceState* state, const std::string& service, TimePoint now);

  template <typename Function>
  RequestAction Step(ServiceState* state, Function function);

  std::string daemon;
  ClusterView* view;
  std::shared_ptr<OwnerService> owner;
  PeerNetwork* peers;
  Sharded<States> states;  // By service.
};

}  // namespace poplarmoor
