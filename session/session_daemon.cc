#include "session/session_daemon.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

#include "kernel/random.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "net/key_ring.h"
#include "net/peer_network.h"
#include "net/random_bits.h"
#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/evidence_exchange.h"
#include "session/object_store.h"
#include "session/organisation/limit_service.h"
#include "session/relay_server.h"
#include "session/session_server.h"
#include "session/statement_runner.h"
#include "session/store_sync.h"
#include "session/takeover_controller.h"
#include "telemetry/close_reporter.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Time from when a daemon first reports that it is not ready until the load balancer has removed
// it. The load balancer probes each daemon once a second and removes it after two failed probes.
constexpr Duration kBalancerRemovalDelay = 2200ms;
// The process exits this long before the end of its stop grace period, at which it would be killed.
constexpr Duration kStopMargin = 500ms;
// Time before the exit of a stopping process by which the last requests are answered, so that their
// answers can still be sent.
constexpr Duration kLastAnswersTime = 100ms;
constexpr Duration kStopPollInterval = 20ms;
// File descriptors reserved for connections to endpoints and the store, and for files; sessions
// cannot use them.
constexpr uint32_t kReservedDescriptors = 400;
// Kind and name of the store object that holds the daemons' shared secret. The first daemon creates
// the object.
constexpr char kPeerKeyKind[] = "peer-keys";
constexpr char kPeerKeyName[] = "main";
constexpr Duration kPeerKeyRetryDelay = 1s;
constexpr Duration kOrphanCheckInterval = 1s;
constexpr char kMetricsPath[] = "/metrics";
// Largest request of a probe or of a reader of the metrics, in bytes.
constexpr size_t kMaxProbeBody = 4 << 10;
// Largest numbers of connections of probes and of readers of the metrics, for each listener, and of
// other daemons before their handshake has ended. The second numbers are the shares of all
// descriptors that the connections may take.
constexpr size_t kMaxProbeConnections = 64;
constexpr size_t kProbeDescriptorShare = 16;
constexpr size_t kMaxHandshakes = 256;
constexpr size_t kHandshakeDescriptorShare = 8;

void Rethrow(std::exception_ptr failure) {
  if (failure) {
    std::rethrow_exception(failure);
  }
}

}  // namespace

struct SessionDaemon::Components {
  Components(asio::any_io_executor executor,
             const ProcessSettings& settings,
             const PlatformAdapter& adapter)
      : cluster(executor, adapter.sessions, settings.daemon, settings.failure_domain),
        runner(&this->cluster, adapter.sessions, adapter.metrics),
        sync(executor,
             adapter.store,
             adapter.registry,
             &this->cluster,
             Peer{settings.daemon, settings.peer_address, settings.failure_domain,
                  settings.capacity},
             settings.bounds,
             settings.revocation_bound),
        relay_server(executor, &this->cluster),
        takeover_controller(executor,
                            &this->cluster,
                            adapter.store,
                            adapter.promotions,
                            adapter.metrics,
                            settings.daemon),
        evidence(executor, &this->cluster, &this->runner),
        closes(adapter.metrics),
        limits(executor, &this->cluster, adapter.metrics, settings),
        server(executor, &this->cluster, &this->runner, adapter.sessions, settings.memory) {
    this->cluster.access().SetRevocationBound(settings.revocation_bound);
    this->cluster.access().SetMetrics(adapter.metrics);
    this->cluster.configuration().SetMetrics(adapter.metrics);
    this->cluster.SetDrainBound(settings.bounds.endpoints);
    this->server.SetCloseReporter(&this->closes);
    this->server.SetLimits(&this->limits);
    this->sync.SetEntryObserver(
        [this](const EntryWrite& write) { this->limits.NoteEntryWritten(write); });
  }

  Cluster cluster;
  StatementRunner runner;
  StoreSync sync;
  RelayServer relay_server;
  TakeoverController takeover_controller;
  EvidenceExchange evidence;
  CloseReporter closes;
  LimitService limits;
  SessionServer server;
  std::unique_ptr<KeyRing> peer_keys;
  std::unique_ptr<PeerNetwork> peers;
  std::shared_ptr<HttpServer> readiness;
  std::shared_ptr<HttpServer> metrics_server;
};

SessionDaemon::SessionDaemon(asio::io_context* context,
                             ProcessSettings settings,
                             PlatformAdapter adapter)
    : context(context),
      settings(std::move(settings)),
      adapter(std::move(adapter)),
      components(
          std::make_unique<Components>(context->get_executor(), this->settings, this->adapter)),
      stop_signals(*context, SIGTERM, SIGINT),
      reload_signals(*context, SIGHUP) {
  const RegionMap regions(this->settings.regions);
  // With a revocation bound, watches of the configuration are short; with several regions, they
  // pass the thin link between regions. Both make many watchers expensive.
  const bool standby_watchers =
      regions.HasSeveralRegions() || this->settings.revocation_bound.has_value();
  this->components->cluster.relays().SetStandbyWatchers(standby_watchers);
  this->components->cluster.SetRegions(regions);
}

SessionDaemon::~SessionDaemon() = default;

void SessionDaemon::Start() {
  Log(LogLevel::kInfo, "daemon starts",
      {{"daemon", this->settings.daemon},
       {"failure_domain", this->settings.failure_domain},
       {"version", POPLARMOOR_VERSION}});
  this->components->readiness = std::make_shared<HttpServer>(
      this->context->get_executor(),
      [this](HttpRequest request, ConnectionId) -> asio::awaitable<HttpResponse> {
        HttpResponse response;
        if (request.target != this->adapter.ready_path) {
          response.status = 404;
        } else if (this->stopping || !this->components->cluster.IsReady()) {
          response.status = 503;
        }
        co_return response;
      },
      this->MakeProbeOptions("readiness"));
  this->components->readiness->Listen(this->settings.ready_address);
  this->ListenForMetrics();
  const uint32_t descriptors = this->settings.max_descriptors;
  this->components->server.Listen(this->settings.caller_address,
                                  descriptors > 2 * kReservedDescriptors
                                      ? descriptors - kReservedDescriptors
                                      : descriptors / 2);
  this->components->sync.Start();
  this->components->takeover_controller.Start();
  this->components->evidence.Start();
  this->components->limits.Start();
  asio::co_spawn(*this->context, this->StartPeerNetwork(), Rethrow);
  asio::co_spawn(*this->context, this->AwaitStop(), Rethrow);
  asio::co_spawn(*this->context, this->AwaitReload(), Rethrow);
}

HttpServerOptions SessionDaemon::MakeProbeOptions(const std::string& name) {
  HttpServerOptions options;
  options.max_body = kMaxProbeBody;
  options.max_connections = std::min<size_t>(
      kMaxProbeConnections, this->settings.max_descriptors / kProbeDescriptorShare);
  options.name = name;
  options.closes = &this->components->closes;
  return options;
}

void SessionDaemon::ListenForMetrics() {
  if (this->settings.metrics_address.empty()) {
    return;
  }
  this->components->metrics_server = std::make_shared<HttpServer>(
      this->context->get_executor(),
      [this](HttpRequest request, ConnectionId) -> asio::awaitable<HttpResponse> {
        HttpResponse response;
        if (request.target != kMetricsPath) {
          response.status = 404;
          co_return response;
        }
        Metrics* metrics = this->adapter.metrics;
        metrics->Set(Metric::kCallerConnections, {},
                     static_cast<double>(this->components->server.size()));
        metrics->Set(Metric::kBufferedBytes, {},
                     static_cast<double>(this->components->server.buffered_bytes()));
        metrics->Set(Metric::kConfigRevision, {},
                     static_cast<double>(this->components->cluster.routes().version));
        const RouteTable& routes = this->components->cluster.routes();
        metrics->Set(Metric::kOrganisations, {},
                     routes.organisations
                         ? static_cast<double>(routes.organisations->Organisations().size())
                         : 0.0);
        const auto age = this->components->cluster.access().Age();
        metrics->Set(Metric::kConfigAge, {},
                     age ? std::chrono::duration<double>(*age).count() : -1.0);
        metrics->Set(Metric::kMembers, {"alive"},
                     static_cast<double>(this->components->cluster.relays().plan().size()));
        metrics->Set(Metric::kLogLinesDropped, {}, static_cast<double>(DroppedLogLines()));
        metrics->Set(Metric::kStopping, {}, this->stopping ? 1.0 : 0.0);
        for (const auto& [service, group] : this->components->cluster.groups()) {
          metrics->Set(Metric::kGroupServing, {service}, group->Primary() == nullptr ? 0.0 : 1.0);
          metrics->Set(Metric::kGroupTerm, {service}, static_cast<double>(group->term));
        }
        response.headers["content-type"] = "text/plain; version=0.0.4";
        response.body = metrics->ToPrometheus();
        co_return response;
      },
      this->MakeProbeOptions("metrics"));
  this->components->metrics_server->Listen(this->settings.metrics_address);
}

asio::awaitable<std::string> SessionDaemon::FetchPeerKey() {
  // The key never changes, so the first read may return data that are some seconds old. When a
  // whole fleet starts for the first time, the random pause after this read lets one daemon create
  // the key before the others try.
  RandomEngine random(RandomBits());
  for (bool stale_ok = true;; stale_ok = false) {
    try {
      const auto stored = co_await this->adapter.store->Get(kPeerKeyKind, kPeerKeyName, stale_ok);
      if (stored) {
        co_return nlohmann::json::parse(stored->value).at("key").get<std::string>();
      }
      if (!stale_ok) {
        std::string value = nlohmann::json{{"key", MakeRandomId()}}.dump();
        co_await this->adapter.store->Put(kPeerKeyKind, kPeerKeyName, std::move(value), 0);
      }
    } catch (const std::exception& error) {
      // Another daemon may have created the key first; the next read returns it.
      Log(LogLevel::kInfo, "cannot read or create the peer key", {{"cause", error.what()}});
    }
    co_await Pause(stale_ok ? RandomDuration(&random, kPeerKeyRetryDelay) : kPeerKeyRetryDelay);
  }
}

asio::awaitable<void> SessionDaemon::StartPeerNetwork() {
  const std::string key = co_await this->FetchPeerKey();
  std::string stored_key = nlohmann::json{{"key", key}}.dump();
  this->components->sync.KeepObject(kPeerKeyKind, kPeerKeyName, std::move(stored_key));
  std::map<std::string, std::string> keys;
  keys[kPeerKeyName] = key;
  this->components->peer_keys = std::make_unique<KeyRing>(kPeerKeyName, std::move(keys));
  this->components->peers = std::make_unique<PeerNetwork>(
      this->context->get_executor(), this->settings.daemon, this->components->peer_keys.get());
  this->components->peers->LimitHandshakes(
      std::min<size_t>(kMaxHandshakes, this->settings.max_descriptors / kHandshakeDescriptorShare),
      &this->components->closes);
  this->components->relay_server.RegisterHandlers(this->components->peers.get());
  this->components->sync.Attach(this->components->peers.get());
  this->components->evidence.Attach(this->components->peers.get());
  this->components->limits.Attach(this->components->peers.get());
  this->components->peers->Listen(this->settings.peer_address);
  this->components->cluster.SetNetwork(this->components->peers.get());
  SpawnService(this->context->get_executor(), "watch the peers",
               [this] { return this->components->cluster.relays().WatchPeers(); });
  for (;;) {
    co_await Pause(kOrphanCheckInterval);
    this->components->relay_server.EndOrphanedTransactions();
  }
}

asio::awaitable<void> SessionDaemon::AwaitReload() {
  for (;;) {
    co_await this->reload_signals.async_wait(asio::use_awaitable);
    try {
      ProcessSettings next = this->adapter.reload_settings();
      const bool address_changed = next.caller_address != this->settings.caller_address ||
                                   next.ready_address != this->settings.ready_address ||
                                   next.store_address != this->settings.store_address;
      this->settings.stop_grace = next.stop_grace;
      Log(LogLevel::kInfo, "settings reloaded",
          {{"stop_grace_s", next.stop_grace.count()}, {"needs_restart", address_changed}});
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kError, "settings not reloaded, the previous ones stay in force",
          {{"cause", error.what()}});
    }
  }
}

asio::awaitable<void> SessionDaemon::AwaitStop() {
  co_await this->stop_signals.async_wait(asio::use_awaitable);
  const TimePoint stop_time = BootNow();
  const Duration grace = this->settings.stop_grace;
  this->stopping = true;
  this->components->takeover_controller.Stop();
  this->components->limits.Stop();
  RelayServer& relays = this->components->relay_server;
  relays.Drain();
  Log(LogLevel::kInfo, "daemon stops",
      {{"sessions", this->components->server.size()}, {"relayed", relays.in_progress()}});
  SpawnTask(this->context->get_executor(), "remove the daemon entry",
            this->components->sync.RemoveDaemonEntry());
  co_await Pause(std::min<Duration>(kBalancerRemovalDelay, grace / 3));
  this->components->server.Drain(stop_time + grace - kStopMargin - kLastAnswersTime);
  bool transactions_ended = false;
  while (this->components->server.size() + relays.in_progress() > 0 &&
         BootNow() - stop_time < grace - kStopMargin) {
    if (!transactions_ended && BootNow() - stop_time > grace / 2) {
      transactions_ended = true;
      this->components->server.EndTransactions();
      relays.EndTransactions();
    }
    co_await Pause(kStopPollInterval);
  }
  // The last answers to other daemons are still being sent.
  co_await Pause(kStopPollInterval);
  Log(LogLevel::kInfo, "daemon stopped",
      {{"sessions_left", this->components->server.size()},
       {"relayed_left", relays.in_progress()},
       {"elapsed_ms", ToMillis(BootNow() - stop_time)}});
  this->context->stop();
}

}  // namespace poplarmoor
