#pragma once

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/endpoint_load.h"
#include "daemon/sharded.h"
#include "kernel/statement_result.h"
#include "wire/forward_request.h"

namespace poplarmoor {

class ClusterView;
class EndpointDriver;
class EndpointOwner;
class WriteConfirmer;
struct EndpointInfo;
struct GroupState;
struct Telemetry;
struct ServiceSettings;

/// Owner role of a daemon: runs requests at the endpoints that the daemon owns, and waits for
/// replicas to confirm writes where the service requires that. Thread-safe.
class OwnerService : public std::enable_shared_from_this<OwnerService> {
 public:
  /// @param executor Executor of the I/O threads.
  /// @param view Groups and settings as the control plane knows them; must outlive this object.
  /// @param driver Makes connections to the endpoints.
  /// @param telemetry Metrics and spans; must outlive this object.
  OwnerService(boost::asio::any_io_executor executor,
               ClusterView* view,
               std::unique_ptr<EndpointDriver> driver,
               Telemetry* telemetry);
  ~OwnerService();

  /// Starts the periodic maintenance, which calls EndpointOwner::Maintain() for each endpoint and
  /// removes idle write confirmers.
  void Start();

  /// Runs a request at an endpoint. For a write or a commit of a service whose acknowledge mode is
  /// kQuorum, also waits until a majority of the group's endpoints have received the change.
  /// @param forward Request, with the endpoint and the term that the entry daemon chose.
  /// @returns The outcome, known at the request's deadline at the latest. The verdict of a write
  ///     that ran is kMayHaveRun if too few replicas have confirmed the write by the deadline.
  boost::asio::awaitable<StatementResult> Run(ForwardRequest forward);

  /// From now on, refuses requests that do not belong to an open transaction. Requests and
  /// transactions in progress continue.
  void Drain() { this->draining = true; }

  /// Ends the periodic maintenance and closes all connections to endpoints.
  void Stop();

  /// @returns The load of each endpoint, sorted by the endpoint's name.
  std::vector<EndpointLoad> EndpointLoads();

  /// @returns The number of open transactions.
  size_t TransactionCount();

  /// @returns The number of requests in progress.
  int InFlight() const { return this->in_flight.load(); }

 private:
  using Owners = std::map<std::string, std::shared_ptr<EndpointOwner>>;
  using Confirmers = std::map<std::string, std::shared_ptr<WriteConfirmer>>;

  boost::asio::awaitable<StatementResult> RunAtEndpoint(ForwardRequest forward);
  boost::asio::awaitable<void> Maintain();
  std::shared_ptr<EndpointOwner> FindOwner(const EndpointInfo& endpoint,
                                           const ServiceSettings& settings);
  std::shared_ptr<WriteConfirmer> FindConfirmer(const std::string& service);
  std::vector<std::shared_ptr<EndpointOwner>> AllOwners();

  boost::asio::any_io_executor executor;
  ClusterView* view;
  std::unique_ptr<EndpointDriver> driver;
  Telemetry* telemetry;
  std::atomic<bool> draining{false};
  std::atomic<bool> stopped{false};
  std::atomic<int> in_flight{0};
  Sharded<Owners> owners;          // Keyed by the endpoint's name.
  Sharded<Confirmers> confirmers;  // Keyed by the service's name.
};

}  // namespace poplarmoor
