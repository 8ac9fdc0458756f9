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
#include "net/event_queue.h"
#include "net/transaction_token.h"

namespace poplarmoor {

class ClusterView;
class OwnerService;
class PeerNetwork;
struct PeerInfo;
struct ServiceState;

/// Runs the requests that the entry daemon receives: performs the actions that a RequestMachine
/// decides on, and forwards each attempt to an owner of the chosen endpoint. Thread-safe. A
/// coroutine that awaits a method of this class must run on a strand that no other coroutine uses.
class StatementRouter : public std::enable_shared_from_this<StatementRouter> {
 public:
  /// @param daemon Name of this daemon. An attempt at an endpoint that this daemon owns is passed
  ///     to `owner`; any other attempt is sent through `peers`.
  /// @param view Groups and members as the control plane knows them; must outlive this object.
  /// @param owner Owner role of this daemon.
  /// @param peers Connections to the other daemons; must outlive this object.
  StatementRouter(std::string daemon,
                  ClusterView* view,
                  std::shared_ptr<OwnerService> owner,
                  PeerNetwork* peers);

  /// Runs a request that belongs to no open transaction, or one that begins a transaction.
  /// @param request Request with its deadline.
  /// @param settings Settings of the request's service.
  /// @param primary_required True when the request's session may read only at the primary.
  /// @returns The outcome, known at the request's deadline at the latest.
  boost::asio::awaitable<RoutedResult> Run(StatementRequest request,
                                           ServiceSettings settings,
                                           bool primary_required);

  /// Sends a statement of a transaction, a commit or a rollback to the transaction's owner, without
  /// a retry after a failure.
  /// @param request Request with the transaction id that the transaction's owner assigned.
  /// @param transaction Decoded token of the transaction.
  /// @returns The outcome.
  boost::asio::awaitable<RoutedResult> RunInTransaction(StatementRequest request,
                                                        TransactionToken transaction);

 private:
  using States = std::map<std::string, std::shared_ptr<ServiceState>>;

  /// Result of one attempt.
  struct AttemptResult {
    int attempt = 0;
    bool answered = false;
    // True when the request may have reached the owner; set only if `answered` is false.
    bool sent = false;
    RoutedResult routed;
  };

  using AttemptResults = std::shared_ptr<EventQueue<AttemptResult>>;

  boost::asio::awaitable<void> RunAttempt(AttemptResults attempt_results,
                                          std::shared_ptr<ServiceState> state,
                                          StatementRequest request,
                                          RequestAction action);
  boost::asio::awaitable<StatementResult> Forward(const PeerInfo& owner,
                                                  StatementRequest request,
                                                  const std::string& endpoint,
                                                  uint64_t term);
  boost::asio::awaitable<std::optional<AttemptResult>> NextAttemptResult(
      AttemptResults attempt_results,
      std::shared_ptr<ServiceState> state,
      TimePoint until);
  std::shared_ptr<ServiceState> FindState(const ServiceSettings& settings);

  /// Reads the group state again if kRefreshInterval has passed since the last read. Call with the
  /// mutex of `state` held.
  /// @returns Whether the group state was read and had changed.
  bool RefreshGroup(ServiceState* state, const std::string& service, TimePoint now);

  template <typename Function>
  RequestAction StepMachine(ServiceState* state, Function function);

  std::string daemon;
  ClusterView* view;
  std::shared_ptr<OwnerService> owner;
  PeerNetwork* peers;
  Sharded<States> states;  // Keyed by the service's name.
};

}  // namespace poplarmoor
