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
struct Observers;

/// Limits of the callers' API.
struct EntryLimits {
  Duration max_deadline = 60'000ms;  // Longer deadlines are shortened to it.
  int max_in_flight = 20000;         // Requests at once.
};

/// Entry role of a daemon: the callers' API of section 11 of the design. Thread-safe.
class EntryService : public std::enable_shared_from_this<EntryService> {
 public:
  /// @param view The control plane; must outlive this object.
  /// @param keys Keys of the tokens; must outlive this object.
  /// @param router Runs the requests.
  /// @param observers Metrics and spans; must outlive this object.
  /// @param limits Limits.
  EntryService(ClusterView* view,
               const KeyRing* keys,
               std::shared_ptr<StatementRouter> router,
               Observers* observers,
               EntryLimits limits);

  /// Answers one request of a caller.
  /// @param request HTTP request.
  /// @returns The response, of any status.
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

  /// Reports unready from now on, and refuses new transactions.
  void Drain() { this->draining = true; }

  /// @returns Whether Drain() was called.
  bool IsDraining() const { return this->draining.load(); }

  /// @returns Requests in progress.
  int InFlight() const { return this->in_flight.load(); }

 private:
  boost::asio::awaitable<HttpResponse> Route(const HttpRequest& request, EntryExchange* exchange);
  boost::asio::awaitable<HttpResponse> RunStatement(CallerRequest request, EntryExchange* exchange);
  boost::asio::awaitable<HttpResponse> RunInTransaction(CallerRequest request,
                                                        EntryExchange* exchange);
  boost::asio::awaitable<HttpResponse> FindOutcome(const std::string& path,
                                                   EntryExchange* exchange);
  boost::asio::awaitable<StatementResult> ResolveCommit(StatementRequest request,
                                                        StatementResult gone);
  void Observe(EntryExchange* exchange, const HttpResponse& response, TimePoint start);
  void Prepare(CallerRequest* request, Duration default_deadline, EntryExchange* exchange) const;
  void RecordWrite(const StatementResult& result,
                   const std::string& service,
                   SessionPositions* positions) const;

  ClusterView* view;
  const KeyRing* keys;
  std::shared_ptr<StatementRouter> router;
  Observers* observers;
  EntryLimits limits;
  std::atomic<bool> draining{false};
  std::atomic<int> in_flight{0};
};

}  // namespace poplarmoor
