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
struct HttpServerOptions;
class Metrics;
class ObjectStore;
class PromotionApi;
class RegistryCodec;
class SessionCodec;

/// Objects that a platform adapter provides to the daemon. All of them must outlive the daemon.
struct PlatformAdapter {
  const SessionCodec* sessions = nullptr;
  const RegistryCodec* registry = nullptr;
  ObjectStore* store = nullptr;
  PromotionApi* promotions = nullptr;
  Metrics* metrics = nullptr;
  std::string ready_path;  // HTTP path of the readiness probe.
  // Reads the settings again; throws std::runtime_error on failure.
  std::function<ProcessSettings()> reload_settings;
};

/// Daemon that serves callers' sessions, in one process with one thread.
class SessionDaemon {
 public:
  SessionDaemon(boost::asio::io_context* context,
                ProcessSettings settings,
                PlatformAdapter adapter);
  ~SessionDaemon();

  /// Starts to serve callers. A stop signal drains the daemon and then stops the io_context.
  /// @throws std::runtime_error when an address cannot be used.
  void Start();

 private:
  struct Components;

  void ListenForMetrics();
  // Returns the limits of a listener for probes.
  HttpServerOptions MakeProbeOptions(const std::string& name);
  boost::asio::awaitable<void> StartPeerNetwork();
  boost::asio::awaitable<std::string> FetchPeerKey();
  boost::asio::awaitable<void> AwaitStop();
  boost::asio::awaitable<void> AwaitReload();

  boost::asio::io_context* context;
  ProcessSettings settings;
  PlatformAdapter adapter;
  std::unique_ptr<Components> components;
  boost::asio::signal_set stop_signals;
  boost::asio::signal_set reload_signals;
  bool stopping = false;
};

}  // namespace poplarmoor
