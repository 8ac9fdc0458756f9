#pragma once

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "daemon/routed_result.h"
#include "net/http_message.h"
#include "wire/caller_request.h"

namespace poplarmoor {

class ClusterView;
class KeyRing;
class SessionPositions;
class StatementRouter;
struct EntryExchange;
struct Telemetry;

/// Limits on the requests of callers.
struct EntryLimits {
  // Longest time from the arrival of a request to its deadline; a longer one is shortened to this.
  Duration max_deadline = 60'000ms;
  int max_in_flight = 20000;  // Maximum number of simultaneous requests.
};

/// Entry role of a daemon: serves the HTTP API that callers use (section 11 of the design).
/// Thread-safe.
class EntryService : public std::enable_shared_from_this<EntryService> {
 public:
  /// @param view Groups and settings as the control plane knows them; must outlive this object.
  /// @param keys Keys that authenticate session and transaction tokens; must outlive this object.
  /// @param router Forwards the requests to the owners of the endpoints.
  /// @param telemetry Metrics and spans; must outlive this object.
  /// @param limits Limits on the requests of callers.
  EntryService(ClusterView* view,
               const KeyRing* keys,
               std::shared_ptr<StatementRouter> router,
               Telemetry* telemetry,
               EntryLimits limits);

  /// Answers one request of a caller.
  /// @param request HTTP request.
  /// @returns The response; an error is a response with an error status.
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

  /// Makes /healthz report status 503, and refuses requests to begin a transaction, from now on.
  void Drain() { this->draining = true; }

  /// @returns Whether Drain() was called.
  bool IsDraining() const { return this->draining.load(); }

  /// @returns The number of requests in progress.
  int InFlight() const { return this->in_flight.load(); }

 private:
  boost::asio::awaitable<HttpResponse> Route(const HttpRequest& request, EntryExchange* exchange);
  boost::asio::awaitable<HttpResponse> RunStatement(CallerRequest request, EntryExchange* exchange);
  boost::asio::awaitable<HttpResponse> RunInTransaction(CallerRequest request,
                                                        EntryExchange* exchange);
  boost::asio::awaitable<HttpResponse> FindOutcome(const std::string& path,
                                                   EntryExchange* exchange);
  boost::asio::awaitable<StatementResult> ResolveCommit(StatementRequest request,
                                                        StatementResult commit_refusal);
  void Observe(EntryExchange* exchange, const HttpResponse& response, TimePoint start);
  void Prepare(CallerRequest* request, Duration default_deadline, EntryExchange* exchange) const;
  void RecordWrite(const StatementResult& result,
                   const std::string& service,
                   SessionPositions* positions) const;

  ClusterView* view;
  const KeyRing* keys;
  std::shared_ptr<StatementRouter> router;
  Telemetry* telemetry;
  EntryLimits limits;
  std::atomic<bool> draining{false};
  std::atomic<int> in_flight{0};
};

}  // namespace poplarmoor
