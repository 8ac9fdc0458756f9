#include "daemon/control_plane.h"

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>

#include "config/daemon_settings.h"
#include "config/units.h"
#include "daemon/platform_watcher.h"
#include "kernel/trace_id.h"
#include "net/endpoint_driver.h"
#include "net/now.h"
#include "net/platform_client.h"
#include "telemetry/log.h"
#include "wire/control_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::milliseconds kPeerTimeout{1000};

// Minimum time between two reports by this daemon about one unresponsive endpoint, and between two
// reports about a higher term of one service.
constexpr Duration kMinReportInterval = 200ms;

uint64_t MakeIncarnation() {
  // The incarnation is the time of the wall clock, so that a restarted daemon has a higher one than
  // before. If the clock was set back, the daemon raises its incarnation once a peer reports the
  // higher one of the earlier run.
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count());
}

uint64_t MakeSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace

ControlPlane::ControlPlane(asio::any_io_executor executor,
                           const DaemonSettings& settings,
                           PlatformClient* platform,
                           PeerNetwork* peers,
                           std::unique_ptr<EndpointDriver> driver)
    : executor(executor),
      daemon(settings.daemon),
      platform(platform),
      peers(peers),
      driver(std::move(driver)),
      endpoints(executor, this->driver.get()),
      control(settings, settings.listen.peers, MakeIncarnation(), MakeSeed()) {
  this->watcher = std::make_shared<PlatformWatcher>(
      executor, platform, &this->control,
      [this](std::vector<ConfigUnit> units) { this->Perform(this->control.Publish(units, Now())); },
      settings.control.watch, settings.control.vm_poll);
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::Spawn(std::function<Coroutine(ControlPlane*)> make_coroutine) {
  asio::co_spawn(
      asio::make_strand(this->executor),
      [self = this->shared_from_this(), make_coroutine = std::move(make_coroutine)] {
        return make_coroutine(self.get());
      },
      [](const std::exception_ptr& error) {
        try {
          if (error) {
            std::rethrow_exception(error);
          }
        } catch (const std::exception& reason) {
          Log(LogLevel::kError, "background task of the control plane failed",
              {{"error", reason.what()}});
        }
      });
}

void ControlPlane::Start() {
  this->Spawn([](ControlPlane* self) { return self->TickLoop(); });
  this->watcher->Start();
}

void ControlPlane::Leave() {
  this->Perform(this->control.Leave(/*stop_now=*/false));
}

void ControlPlane::Stop() {
  this->Perform(this->control.Leave(/*stop_now=*/true));
  this->stopped = true;
  this->watcher->Stop();
}

asio::awaitable<void> ControlPlane::TickLoop() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!this->stopped) {
    this->Perform(this->control.Tick(Now()));
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// --- Messages from other daemons ----------------------------------------------------------------

void ControlPlane::SetHandler(const std::string& type, Handler handler) {
  this->peers->SetHandler(
      type,
      [weak = this->weak_from_this(), handler](
          std::string from, PeerMessage message) -> asio::awaitable<PeerMessage> {
        const auto self = weak.lock();
        if (self == nullptr) {
          throw std::runtime_error("the control plane of this daemon has stopped");
        }
        co_return co_await (self.get()->*handler)(std::move(from), std::move(message));
      });
}

void ControlPlane::SetHandlers() {
  this->SetHandler("gossip", &ControlPlane::HandleGossip);
  this->SetHandler("config_push", &ControlPlane::HandleConfig);
  this->SetHandler("config_fetch", &ControlPlane::HandleConfig);
  this->SetHandler("suspect", &ControlPlane::HandleSuspect);
  this->SetHandler("promote", &ControlPlane::HandlePromote);
  this->SetHandler("observe", &ControlPlane::HandleObserve);
}

asio::awaitable<PeerMessage> ControlPlane::HandleGossip(std::string from, PeerMessage message) {
  ControlWork work = this->control.ReceiveGossip(UnpackGossip(message.body), Now());
  // Messages for the daemon that sent the gossip are returned in the answer, not sent separately.
  std::vector<GossipMessage> answers;
  std::erase_if(work.gossip, [&](GossipEnvelope& envelope) {
    if (envelope.daemon != from) {
      return false;
    }
    answers.push_back(std::move(envelope.message));
    return true;
  });
  this->Perform(std::move(work));
  co_return PeerMessage("gossip", PackGossip(answers));
}

asio::awaitable<PeerMessage> ControlPlane::HandleConfig(std::string from, PeerMessage message) {
  ControlWork work = this->control.ReceiveConfig(UnpackConfig(message.body), Now());
  std::vector<ConfigMessage> answers;
  std::erase_if(work.config, [&](ConfigEnvelope& envelope) {
    if (envelope.daemon != from) {
      return false;
    }
    answers.push_back(std::move(envelope.message));
    return true;
  });
  this->Perform(std::move(work));
  co_return PeerMessage("config_push", PackConfig(answers));
}

asio::awaitable<PeerMessage> ControlPlane::HandleSuspect(std::string from, PeerMessage message) {
  const EndpointReference reference = UnpackEndpointReference(message.body);
  Log(LogLevel::kInfo, "another daemon suspects that an endpoint has failed",
      {{"service", reference.service}, {"endpoint", reference.endpoint}, {"reporter", from}});
  this->OnGroup(reference.service, [&](GroupControl& group) {
    group.detector.OnSuspicion(reference.endpoint, Now());
  });
  co_return PeerMessage("suspect", "\x80");  // Empty msgpack map.
}

asio::awaitable<PeerMessage> ControlPlane::HandlePromote(std::string from, PeerMessage message) {
  const EndpointReference reference = UnpackEndpointReference(message.body);
  Log(LogLevel::kInfo, "promotion ordered by an operator",
      {{"service", reference.service}, {"through", from}});
  this->OnGroup(reference.service,
                [](GroupControl& group) { group.failover.Start(FailoverCause::kOperator, Now()); });
  co_return PeerMessage("promote", "\x80");  // Empty msgpack map.
}

asio::awaitable<PeerMessage> ControlPlane::HandleObserve(std::string, PeerMessage message) {
  const EndpointReference reference = UnpackEndpointReference(message.body);
  const ProbeResult result = co_await this->endpoints.Probe(
      reference.address, /*fresh=*/true, FailureDetectorOptions().confirm_timeout);
  co_return PeerMessage("observe", PackProbeOutcome(result.outcome));
}

// --- Messages to other daemons ------------------------------------------------------------------

asio::awaitable<void> ControlPlane::SendGossip(std::string address,
                                               std::vector<GossipMessage> messages) {
  try {
    PeerMessage request("gossip", PackGossip(messages));
    const PeerMessage answer =
        co_await this->peers->Call(address, std::move(request), kPeerTimeout);
    this->Perform(this->control.ReceiveGossip(UnpackGossip(answer.body), Now()));
  } catch (const std::exception& error) {
    // No retry here: the membership protocol detects the missing answer by its own timeout.
    Log(LogLevel::kDebug, "gossip exchange with a peer failed",
        {{"address", address}, {"error", error.what()}});
  }
}

asio::awaitable<void> ControlPlane::SendConfig(std::string address,
                                               std::vector<ConfigMessage> messages) {
  try {
    const bool fetch = messages.front().kind == ConfigMessageKind::kFetch;
    PeerMessage request(fetch ? "config_fetch" : "config_push", PackConfig(messages));
    const PeerMessage answer =
        co_await this->peers->Call(address, std::move(request), kPeerTimeout);
    this->Perform(this->control.ReceiveConfig(UnpackConfig(answer.body), Now()));
  } catch (const std::exception& error) {
    Log(LogLevel::kDebug,
        "configuration exchange with a peer failed; it is repeated if the digests still differ",
        {{"address", address}, {"error", error.what()}});
  }
}

asio::awaitable<void> ControlPlane::CallMonitor(std::string address, PeerMessage message) {
  try {
    co_await this->peers->Call(address, std::move(message), kPeerTimeout);
  } catch (const std::exception& error) {
    Log(LogLevel::kInfo, "call to a daemon that monitors the group failed",
        {{"address", address}, {"error", error.what()}});
  }
}

void ControlPlane::CallMonitors(const std::string& type,
                                const std::string& service,
                                const std::string& endpoint) {
  for (const PeerInfo& monitor : this->control.MonitorsOf(service)) {
    if (monitor.daemon != this->daemon) {
      this->Spawn([address = monitor.address, type,
                   body = PackEndpointReference({service, endpoint, ""})](ControlPlane* self) {
        return self->CallMonitor(address, PeerMessage(type, body));
      });
    }
  }
}

// --- Execution of control work ------------------------------------------------------------------

void ControlPlane::OnGroup(const std::string& service,
                           const std::function<void(GroupControl&)>& event) {
  this->Perform(this->control.OnGroup(service, event, Now()));
}

void ControlPlane::Perform(ControlWork work) {
  if (this->stopped) {
    return;
  }
  std::map<std::string, std::vector<GossipMessage>> gossip;
  for (GossipEnvelope& envelope : work.gossip) {
    gossip[envelope.address].push_back(std::move(envelope.message));
  }
  for (auto& [address, messages] : gossip) {
    this->Spawn([address = address, messages = std::move(messages)](ControlPlane* self) {
      return self->SendGossip(address, messages);
    });
  }
  for (ConfigEnvelope& envelope : work.config) {
    this->Spawn([envelope = std::move(envelope)](ControlPlane* self) {
      return self->SendConfig(envelope.address, {envelope.message});
    });
  }
  for (const auto& [service, action] : work.detections) {
    this->Perform(service, action);
  }
  for (const auto& [service, action] : work.failovers) {
    this->Perform(service, action);
  }
}

bool ControlPlane::IsReportDue(const std::string& key) {
  std::lock_guard lock(this->mutex);
  const TimePoint now = Now();
  std::erase_if(this->report_times,
                [now](const auto& entry) { return now - entry.second >= kMinReportInterval; });
  return this->report_times.emplace(key, now).second;
}

// --- ClusterView --------------------------------------------------------------------------------

std::vector<PeerInfo> ControlPlane::OwnersOf(const EndpointInfo& endpoint) const {
  return this->control.OwnersOf(endpoint);
}

std::optional<GroupState> ControlPlane::FindGroup(const std::string& service) const {
  return this->control.FindGroup(service);
}

std::optional<ServiceSettings> ControlPlane::FindSettings(const std::string& service,
                                                          const std::string& site) const {
  return this->control.FindSettings(service, site);
}

std::vector<std::string> ControlPlane::ServiceNames() const {
  return this->control.ServiceNames();
}

void ControlPlane::ReportSuspicion(const std::string& service, const std::string& endpoint) {
  if (!this->IsReportDue("suspect " + service + " " + endpoint)) {
    return;
  }
  this->OnGroup(service, [&](GroupControl& group) { group.detector.OnSuspicion(endpoint, Now()); });
  this->CallMonitors("suspect", service, endpoint);
}

void ControlPlane::ReportHigherTerm(const std::string& service, uint64_t term) {
  const std::optional<GroupState> group = this->control.FindGroup(service);
  if ((group && group->term >= term) || !this->IsReportDue("term " + service)) {
    return;
  }
  this->OnGroup(service, [&](GroupControl& each) { each.failover.OnHigherTerm(term, Now()); });
  ConfigMessage fetch;
  fetch.kind = ConfigMessageKind::kFetch;
  fetch.sender = this->daemon;
  fetch.versions = {{UnitKind::kGroup, service, 0}};
  for (const PeerInfo& monitor : this->control.MonitorsOf(service)) {
    if (monitor.daemon != this->daemon) {
      this->Spawn([address = monitor.address, fetch](ControlPlane* self) {
        return self->SendConfig(address, {fetch});
      });
    }
  }
}

// --- ClusterOperations --------------------------------------------------------------------------

std::vector<Member> ControlPlane::Members() const {
  return this->control.Members();
}

uint64_t ControlPlane::ConfigRevision() const {
  return this->control.ConfigRevision();
}

std::string ControlPlane::ConfigDigest() const {
  return FormatHex64(this->control.ConfigHash());
}

std::string ControlPlane::ConfigJson() const {
  nlohmann::json units = nlohmann::json::array();
  for (const ConfigUnit& unit : this->control.UnitsOf(UnitKind::kConfig)) {
    units.push_back({{"name", unit.name},
                     {"version", unit.version},
                     {"revision", unit.revision},
                     {"value", nlohmann::json::parse(unit.content, nullptr, false)}});
  }
  return units.dump();
}

asio::awaitable<void> ControlPlane::Drain(std::string endpoint) {
  const std::optional<ConfigUnit> known = this->control.FindUnit(UnitKind::kVm, endpoint);
  if (!this->control.TakePlatformCall(/*urgent=*/true, Now())) {
    throw std::runtime_error(
        "the platform cannot be called now, because earlier calls failed or the call budget is "
        "used up; "
        "try again later");
  }
  const std::string value =
      nlohmann::json{{"name", endpoint}, {"state", "leaving"}, {"drained", true}}.dump();
  try {
    const PlatformObject stored =
        co_await this->platform->Put("vm", endpoint, value, known ? known->version : 0);
    this->control.OnPlatformAnswer(true, Now());
    const ConfigUnit unit{UnitKind::kVm, endpoint, stored.version, stored.revision, value};
    this->Perform(this->control.Publish({unit}, Now()));
  } catch (const PlatformError& error) {
    this->control.OnPlatformAnswer(error.failure == PlatformFailure::kConflict, Now());
    throw;
  }
}

asio::awaitable<void> ControlPlane::Promote(std::string service) {
  if (!this->control.FindGroup(service)) {
    throw std::runtime_error("no group is known for service '" + service + "'");
  }
  bool started = false;
  this->OnGroup(service, [&started](GroupControl& group) {
    started = group.failover.Start(FailoverCause::kOperator, Now());
  });
  if (!started) {
    this->CallMonitors("promote", service, "");
  }
  co_return;
}

}  // namespace poplarmoor
