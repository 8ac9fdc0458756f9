#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>

#include "session/process_settings.h"

namespace poplarmoor {

class HttpServer;
class Metrics;
class ObjectStore;
class PromotionApi;
class RegistryCodec;
class SessionCodec;

/// What a platform adapter provides to the daemon. All must outlive the daemon.
struct PlatformAdapter {
  const SessionCodec* sessions = nullptr;
  const RegistryCodec* registry = nullptr;
  ObjectStore* store = nullptr;
  PromotionApi* promotions = nullptr;
  Metrics* metrics = nullptr;
  std::string ready_path;                            // Of the readiness probe.
  std::function<ProcessSettings()> reload_settings;  // Throws std::runtime_error.
};

/// Daemon that serves callers' sessions: one process with one thread.
class SessionDaemon {
 public:
  SessionDaemon(boost::asio::io_context* context,
                ProcessSettings settings,
                PlatformAdapter adapter);
  ~SessionDaemon();

  /// Starts to serve; the io_context stops when the daemon has been stopped by a signal.
  /// @throws std::runtime_error when an address cannot be used.
  void Start();

 private:
  struct Parts;

  void ListenForMetrics();
  boost::asio::awaitable<void> StartPeers();
  boost::asio::awaitable<std::string> FetchPeerKey();
  boost::asio::awaitable<void> AwaitStop();
  boost::asio::awaitable<void> AwaitReload();

  boost::asio::io_context* context;
  ProcessSettings settings;
  PlatformAdapter adapter;
  std::unique_ptr<Parts> parts;
  boost::asio::signal_set stop_signals;
  boost::asio::signal_set reload_signals;
  bool stopping = false;
};

}  // namespace poplarmoor
