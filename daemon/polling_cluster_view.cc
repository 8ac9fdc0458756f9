#include "daemon/polling_cluster_view.h"

#include <boost/asio.hpp>

#include "net/platform_client.h"
#include "net/strand.h"
#include "telemetry/log.h"
#include "wire/json_fields.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Time between two periodic reads of the groups from the platform.
constexpr std::chrono::milliseconds kPollInterval{500};

// Time between two checks whether ReportHigherTerm() has requested an early read, and thus the
// longest delay of such a read.
constexpr std::chrono::milliseconds kReadCheckInterval{20};

std::vector<nlohmann::json> ReadArray(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_array() ? found->get<std::vector<nlohmann::json>>()
                                                    : std::vector<nlohmann::json>();
}

GroupState DecodeGroup(const PlatformObject& object) {
  const JsonFields fields(object.value);
  const auto json = nlohmann::json::parse(object.value);
  GroupState group;
  group.service = fields.RequiredString("service", JsonFields::kMaxName);
  group.version = object.version;
  group.term = fields.OptionalUint("term", 0);
  group.phase = fields.RequiredName("phase", kGroupPhaseNames);
  group.primary = fields.OptionalString("primary", JsonFields::kMaxName);
  group.proposer = fields.OptionalString("proposer", JsonFields::kMaxName);
  for (const auto& each : ReadArray(json, "endpoints")) {
    const JsonFields endpoint(each, "endpoints");
    group.endpoints.push_back({endpoint.RequiredString("name", JsonFields::kMaxName),
                               endpoint.RequiredString("address", JsonFields::kMaxName),
                               endpoint.OptionalString("failure_domain", JsonFields::kMaxName)});
  }
  for (const auto& each : ReadArray(json, "term_starts")) {
    const JsonFields start(each, "term_starts");
    group.term_starts.push_back({start.OptionalUint("term", 0), start.OptionalUint("index", 0)});
  }
  return group;
}

}  // namespace

PollingClusterView::PollingClusterView(asio::any_io_executor executor,
                                       PlatformClient* platform,
                                       const std::vector<PeerInfo>& daemons)
    : executor(executor), platform(platform) {
  for (const PeerInfo& daemon : daemons) {
    this->members.push_back(
        {daemon.daemon, daemon.address, daemon.failure_domain, 1, MemberState::kAlive});
    this->ownership.Update(this->members.back());
  }
}

void PollingClusterView::Start() {
  asio::co_spawn(
      MakeStrand(this->executor), [self = this->shared_from_this()] { return self->Poll(); },
      asio::detached);
}

void PollingClusterView::SetSettings(const ServiceSettings& new_settings) {
  std::lock_guard lock(this->mutex);
  this->settings[new_settings.service] = new_settings;
}

asio::awaitable<void> PollingClusterView::Poll() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!this->stopped) {
    try {
      co_await this->ReadGroups();
    } catch (const std::exception& error) {
      Log(LogLevel::kWarn, "cannot read the groups from the platform", {{"error", error.what()}});
    }
    const auto end = std::chrono::steady_clock::now() + kPollInterval;
    while (!this->stopped && !this->read_now.exchange(false) &&
           std::chrono::steady_clock::now() < end) {
      boost::system::error_code ignored;
      timer.expires_after(kReadCheckInterval);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }
}

asio::awaitable<void> PollingClusterView::ReadGroups() {
  const PlatformSnapshot snapshot = co_await this->platform->List("group");
  this->revision = snapshot.revision;
  for (const PlatformObject& object : snapshot.objects) {
    const GroupState group = DecodeGroup(object);
    std::lock_guard lock(this->mutex);
    GroupState& known = this->groups[group.service];
    if (group.version > known.version) {
      known = group;
    }
  }
}

std::vector<PeerInfo> PollingClusterView::OwnersOf(const EndpointInfo& endpoint) const {
  std::lock_guard lock(this->mutex);
  std::vector<PeerInfo> owners;
  for (const Member& member : this->ownership.OwnersOf(endpoint.name, endpoint.failure_domain)) {
    owners.push_back({member.daemon, member.address, member.failure_domain});
  }
  return owners;
}

std::optional<GroupState> PollingClusterView::FindGroup(const std::string& service) const {
  std::lock_guard lock(this->mutex);
  const auto found = this->groups.find(service);
  return found == this->groups.end() ? std::nullopt : std::optional(found->second);
}

std::optional<ServiceSettings> PollingClusterView::FindSettings(const std::string& service,
                                                                const std::string&) const {
  std::lock_guard lock(this->mutex);
  if (!this->groups.contains(service)) {
    return std::nullopt;
  }
  const auto found = this->settings.find(service);
  if (found != this->settings.end()) {
    return found->second;
  }
  ServiceSettings defaults;
  defaults.service = service;
  return defaults;
}

std::vector<std::string> PollingClusterView::ServiceNames() const {
  std::lock_guard lock(this->mutex);
  std::vector<std::string> names;
  for (const auto& entry : this->groups) {
    names.push_back(entry.first);
  }
  return names;
}

void PollingClusterView::ReportSuspicion(const std::string& service, const std::string& endpoint) {
  Log(LogLevel::kWarn, "endpoint did not answer", {{"service", service}, {"endpoint", endpoint}});
}

void PollingClusterView::ReportHigherTerm(const std::string&, uint64_t) {
  this->read_now = true;
}

asio::awaitable<void> PollingClusterView::Drain(std::string) {
  throw std::runtime_error(
      "draining an endpoint requires the control plane, which this daemon does not run");
  co_return;
}

asio::awaitable<void> PollingClusterView::Promote(std::string) {
  throw std::runtime_error(
      "a promotion requires the control plane, which this daemon does not run");
  co_return;
}

}  // namespace poplarmoor
