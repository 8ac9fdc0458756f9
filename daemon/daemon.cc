#include "daemon/daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "daemon/control_plane.h"
#include "daemon/entry_service.h"
#include "daemon/operators_api.h"
#include "daemon/owner_service.h"
#include "daemon/statement_router.h"
#include "net/endpoint_driver.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "net/now.h"
#include "net/traffic_counter.h"
#include "telemetry/log.h"
#include "wire/peer_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

// Length of the time windows for which the metrics compute their quantiles.
constexpr std::chrono::seconds kMetricsWindow{60};

// Maximum number of idle connections to the platform that are kept open for reuse.
constexpr size_t kPlatformConnections = 8;

// Time that a stopping daemon gives load balancers to notice status 503 at /healthz and to stop
// sending requests.
constexpr std::chrono::milliseconds kUnreadyPeriod{1000};

// Time between two checks by Daemon::Stop() whether requests and transactions have ended or a time
// limit has passed.
constexpr std::chrono::milliseconds kStopCheckInterval{10};

// Share of the VM's memory for the requests of callers and operators, as a divisor. Each request
// reserves several times its size while it is handled (net/http_server.cc).
constexpr size_t kBufferDivisor = 10;
// Largest numbers of connections of operators, and of other daemons before their handshake has
// ended, and the shares of all descriptors that they may take, as divisors.
constexpr size_t kMaxOperatorConnections = 64;
constexpr size_t kMaxHandshakes = 256;
constexpr size_t kDescriptorDivisor = 8;

// Returns how many file descriptors the process may have open.
size_t CountDescriptors() {
  rlimit limit{};
  return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : 1024;
}

int CountThreads(const DaemonSettings& settings) {
  return settings.threads > 0 ? settings.threads
                              : std::max(1, static_cast<int>(std::thread::hardware_concurrency()));
}

}  // namespace

Daemon::Daemon(DaemonSettings settings, const KeySet& keys, std::string operator_token)
    : settings(std::move(settings)),
      operator_token(std::move(operator_token)),
      thread_count(CountThreads(this->settings)),
      keys(keys.current_key_id, keys.keys),
      telemetry(this->settings.limits.trace_store),
      buffers((this->settings.limits.memory_mb << 20) / kBufferDivisor),
      closes(&this->telemetry.metrics),
      context(this->thread_count),
      work_guard(this->context.get_executor()),
      control_traffic(std::make_shared<TrafficCounter>()),
      http(this->context.get_executor(), kPlatformConnections, this->control_traffic),
      platform(&this->http, this->settings.platform, this->settings.control.platform_timeout),
      peers(this->context.get_executor(), this->settings.daemon, &this->keys) {
  const asio::any_io_executor executor = this->context.get_executor();
  this->cluster = std::make_shared<ControlPlane>(executor, this->settings, &this->platform,
                                                 &this->peers, this->MakeDriver());
  this->owner = std::make_shared<OwnerService>(executor, this->cluster.get(), this->MakeDriver(),
                                               &this->telemetry);
  this->router = std::make_shared<StatementRouter>(this->settings.daemon, this->cluster.get(),
                                                   this->owner, &this->peers);
  const EntryLimits limits{this->settings.limits.max_deadline,
                           static_cast<int>(this->settings.limits.max_in_flight)};
  this->entry = std::make_shared<EntryService>(this->cluster.get(), &this->keys, this->router,
                                               &this->telemetry, limits);
  HttpServerOptions options;
  options.max_body = this->settings.limits.max_body;
  options.idle_timeout = this->settings.limits.idle_timeout;
  options.read_timeout = this->settings.limits.read_timeout;
  options.max_connections = this->settings.limits.max_connections > 0
                                ? this->settings.limits.max_connections
                                : CountDescriptors() / 2;
  options.name = "callers";
  options.budget = &this->buffers;
  options.closes = &this->closes;
  this->callers = std::make_shared<HttpServer>(
      executor,
      [entry = this->entry](HttpRequest request, ConnectionId) {
        return entry->Handle(std::move(request));
      },
      options);
  this->MakeOperatorsApi();
}

std::unique_ptr<EndpointDriver> Daemon::MakeDriver() {
  auto driver = Registry<EndpointDriver>::Create("http");
  driver->CountControlTraffic(this->control_traffic);
  return driver;
}

std::pair<uint64_t, uint64_t> Daemon::ControlTraffic() const {
  const auto [sent, received] = this->peers.control_traffic();
  return {sent + this->control_traffic->sent, received + this->control_traffic->received};
}

void Daemon::MakeOperatorsApi() {
  OperatorsApiDependencies dependencies;
  dependencies.daemon = this->settings.daemon;
  dependencies.failure_domain = this->settings.failure_domain;
  dependencies.token = this->operator_token;
  dependencies.view = this->cluster.get();
  dependencies.cluster = this->cluster.get();
  dependencies.entry = this->entry;
  dependencies.owner = this->owner;
  dependencies.telemetry = &this->telemetry;
  dependencies.control_traffic = [this] { return this->ControlTraffic(); };
  const auto api = std::make_shared<OperatorsApi>(std::move(dependencies));
  HttpServerOptions options;
  options.max_connections =
      std::min(kMaxOperatorConnections, CountDescriptors() / kDescriptorDivisor);
  options.name = "operators";
  options.budget = &this->buffers;
  options.closes = &this->closes;
  this->operators = std::make_shared<HttpServer>(
      this->context.get_executor(),
      [api](HttpRequest request, ConnectionId) { return api->Handle(std::move(request)); },
      options);
}

Daemon::~Daemon() {
  this->stop_at_once = true;
  this->Stop();
}

void Daemon::SetPeerHandlers() {
  this->cluster->SetHandlers();
  this->peers.SetHandler(
      "forward",
      [owner = this->owner](std::string, PeerMessage message) -> asio::awaitable<PeerMessage> {
        ForwardRequest forward = UnpackForward(message.body, Now());
        const StatementResult result = co_await owner->Run(std::move(forward));
        co_return PeerMessage{"answer", PackResult(result)};
      });
}

asio::awaitable<void> Daemon::RotateMetrics() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kMetricsWindow);
    co_await timer.async_wait(asio::use_awaitable);
    this->telemetry.metrics.StartWindow();
  }
}

void Daemon::Start() {
  this->SetPeerHandlers();
  this->peers.LimitHandshakes(std::min(kMaxHandshakes, CountDescriptors() / kDescriptorDivisor),
                              &this->closes);
  this->peers.Listen(this->settings.listen.peers);
  this->callers->Listen(this->settings.listen.callers);
  this->operators->Listen(this->settings.listen.operators);
  this->cluster->Start();
  this->owner->Start();
  asio::co_spawn(this->context, this->RotateMetrics(), asio::detached);
  this->running = true;
  for (int i = 0; i < this->thread_count; ++i) {
    this->threads.emplace_back([this] { this->context.run(); });
  }
  Log(LogLevel::kInfo, "daemon serves",
      {{"callers", this->callers_address()},
       {"peers", this->peers.address()},
       {"threads", this->thread_count},
       {"version", POPLARMOOR_VERSION}});
}

std::string Daemon::callers_address() const {
  return this->callers->address();
}

std::string Daemon::operators_address() const {
  return this->operators->address();
}

bool Daemon::IsIdle() const {
  return this->entry->InFlight() == 0 && this->owner->InFlight() == 0;
}

void Daemon::WaitUntilIdle(bool with_transactions, Clock::time_point limit) {
  while (!this->stop_at_once && Clock::now() < limit &&
         !(this->IsIdle() && (!with_transactions || this->owner->TransactionCount() == 0))) {
    std::this_thread::sleep_for(kStopCheckInterval);
  }
}

void Daemon::Stop() {
  if (!this->running) {
    return;
  }
  this->running = false;
  const auto limit = Clock::now() + this->settings.limits.stop_limit;
  Log(LogLevel::kInfo, "daemon is stopping", {{"in_flight", this->entry->InFlight()}});
  this->cluster->Leave();
  this->entry->Drain();
  this->owner->Drain();
  const auto unready = std::min(Clock::now() + kUnreadyPeriod, limit);
  while (!this->stop_at_once && Clock::now() < unready) {
    std::this_thread::sleep_for(kStopCheckInterval);
  }
  // Statements of open transactions arrive as new requests, so the callers' listener stays open
  // until the transactions have ended.
  this->WaitUntilIdle(/*with_transactions=*/true, limit);
  this->callers->Stop();
  this->WaitUntilIdle(/*with_transactions=*/false, limit);
  if (!this->IsIdle()) {
    Log(LogLevel::kWarn, "stop limit reached while requests are still in progress",
        {{"in_flight", this->entry->InFlight()}});
  }
  this->operators->Stop();
  this->cluster->Stop();
  this->owner->Stop();
  this->peers.Stop();
  this->work_guard.reset();
  this->context.stop();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
  Log(LogLevel::kInfo, "daemon has stopped");
}

}  // namespace poplarmoor
