#pragma once

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "config/daemon_settings.h"
#include "daemon/cluster_view.h"
#include "daemon/telemetry.h"
#include "kernel/admission/buffer_budget.h"
#include "net/http_client.h"
#include "net/key_ring.h"
#include "net/peer_network.h"
#include "net/platform_client.h"
#include "telemetry/close_reporter.h"

namespace poplarmoor {

class EndpointDriver;
class EntryService;
class HttpServer;
class OwnerService;
class ControlPlane;
class StatementRouter;
struct TrafficCounter;

/// One daemon of the proxy, with its threads, listeners, control plane and data path.
class Daemon {
 public:
  /// @param settings Settings of the daemon.
  /// @param keys Keys that all daemons share; they authenticate peers and the tokens of callers.
  /// @param operator_token Bearer token of the operators' API.
  Daemon(DaemonSettings settings, const KeySet& keys, std::string operator_token);

  /// If the daemon is still running, stops it without waiting for requests.
  ~Daemon();

  /// Starts the listeners and the threads.
  /// @throws std::runtime_error when a listener cannot start.
  void Start();

  /// Stops gracefully: announces to the other daemons that this one is leaving, reports status 503
  /// at /healthz, waits at most `limits.stop_limit` for requests and transactions to end, and ends
  /// the threads. Blocks until the threads have ended.
  void Stop();

  /// Makes Stop() end without waiting for requests, whether Stop() is already running or is called
  /// later.
  void StopAtOnce() { this->stop_at_once = true; }

  /// @returns "IP:port" of the callers' listener.
  std::string callers_address() const;

  /// @returns "IP:port" of the operators' listener.
  std::string operators_address() const;

  ControlPlane& control_plane() { return *this->cluster; }

 private:
  bool IsIdle() const;
  void WaitUntilIdle(bool with_transactions, std::chrono::steady_clock::time_point limit);
  void SetPeerHandlers();
  boost::asio::awaitable<void> RotateMetrics();
  std::unique_ptr<EndpointDriver> MakeDriver();
  std::pair<uint64_t, uint64_t> ControlTraffic() const;
  void MakeOperatorsApi();

  DaemonSettings settings;
  std::string operator_token;
  int thread_count;
  KeyRing keys;
  Telemetry telemetry;
  std::atomic<bool> stop_at_once{false};
  bool running = false;
  // The connections, whose state `context` holds, refer to these.
  BufferBudget buffers;
  CloseReporter closes;

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard;
  std::vector<std::thread> threads;

  // Counts the bytes of the calls to the platform and of the control calls to endpoints.
  std::shared_ptr<TrafficCounter> control_traffic;
  HttpClient http;
  PlatformClient platform;
  PeerNetwork peers;
  std::shared_ptr<ControlPlane> cluster;
  std::shared_ptr<OwnerService> owner;
  std::shared_ptr<StatementRouter> router;
  std::shared_ptr<EntryService> entry;
  std::shared_ptr<HttpServer> callers;
  std::shared_ptr<HttpServer> operators;
};

}  // namespace poplarmoor
