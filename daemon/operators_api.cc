#include "daemon/operators_api.h"

#include <algorithm>

#include <openssl/crypto.h>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "daemon/cluster_operations.h"
#include "daemon/cluster_view.h"
#include "daemon/entry_service.h"
#include "daemon/owner_service.h"
#include "daemon/telemetry.h"
#include "kernel/group_state.h"
#include "kernel/service_settings.h"
#include "telemetry/log.h"
#include "wire/caller_codec.h"
#include "wire/codec_error.h"
#include "wire/json_fields.h"

namespace poplarmoor {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view kTracesPath = "/v1/traces/";

HttpResponse MakeResponse(unsigned status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

HttpResponse MakeError(unsigned status, const std::string& field, const std::string& message) {
  const Reason reason = status >= 500 ? Reason::kInternal : Reason::kBadRequest;
  return MakeResponse(status, EncodeError(reason, field, message));
}

}  // namespace

OperatorsApi::OperatorsApi(OperatorsApiDependencies dependencies)
    : dependencies(std::move(dependencies)), started(std::chrono::steady_clock::now()) {}

bool OperatorsApi::IsAuthorized(const HttpRequest& request) const {
  const auto found = request.headers.find("authorization");
  const std::string expected = "Bearer " + this->dependencies.token;
  return found != request.headers.end() && found->second.size() == expected.size() &&
         CRYPTO_memcmp(found->second.data(), expected.data(), expected.size()) == 0;
}

asio::awaitable<HttpResponse> OperatorsApi::Handle(HttpRequest request) {
  const auto self = this->shared_from_this();
  if (!this->IsAuthorized(request)) {
    co_return MakeError(401, "authorization", "a valid bearer token is required");
  }
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (request.method == "GET") {
    co_return this->Get(path);
  }
  if (request.method != "POST") {
    co_return MakeError(405, "", "method is not supported; use GET or POST");
  }
  try {
    co_return co_await this->Post(path, std::move(request.body));
  } catch (const CodecError& error) {
    co_return MakeError(400, error.field, error.what());
  } catch (const std::runtime_error& error) {
    co_return MakeError(503, "", error.what());
  }
}

asio::awaitable<HttpResponse> OperatorsApi::Post(std::string path, std::string body) {
  if (path != "/v1/drain" && path != "/v1/promote") {
    co_return MakeError(404, "", "no such path: " + path);
  }
  const JsonFields fields(body);
  if (path == "/v1/drain") {
    const std::string endpoint = fields.RequiredString("endpoint", JsonFields::kMaxName);
    co_await this->dependencies.cluster->Drain(endpoint);
    Log(LogLevel::kInfo, "operator marked an endpoint as leaving", {{"endpoint", endpoint}});
  } else {
    const std::string service = fields.RequiredString("service", JsonFields::kMaxName);
    if (!this->dependencies.view->FindGroup(service)) {
      co_return MakeError(404, "service", "no service is named '" + service + "'");
    }
    co_await this->dependencies.cluster->Promote(service);
    Log(LogLevel::kInfo, "operator requested a promotion", {{"service", service}});
  }
  co_return MakeResponse(200, R"({"accepted":true})");
}

HttpResponse OperatorsApi::Get(const std::string& path) const {
  if (path == "/v1/status") {
    return MakeResponse(200, this->StatusJson());
  }
  if (path == "/v1/services") {
    return MakeResponse(200, this->ServicesJson());
  }
  if (path == "/v1/endpoints") {
    return MakeResponse(200, this->EndpointsJson());
  }
  if (path == "/v1/members") {
    return MakeResponse(200, this->MembersJson());
  }
  if (path == "/v1/config") {
    return MakeResponse(200, R"({"units":)" + this->dependencies.cluster->ConfigJson() + "}");
  }
  if (path == "/metrics") {
    HttpResponse response = MakeResponse(200, this->MetricsText());
    response.headers["content-type"] = "text/plain; version=0.0.4";
    return response;
  }
  if (path.starts_with(kTracesPath)) {
    std::string trace =
        this->dependencies.telemetry->spans.FindJson(path.substr(kTracesPath.size()));
    return trace.empty() ? MakeError(404, "trace_id", "the trace is unknown or no longer kept")
                         : MakeResponse(200, std::move(trace));
  }
  return MakeError(404, "", "no such path: " + path);
}

std::string OperatorsApi::StatusJson() const {
  const auto uptime = std::chrono::steady_clock::now() - this->started;
  return json{{"daemon", this->dependencies.daemon},
              {"failure_domain", this->dependencies.failure_domain},
              {"state", this->dependencies.entry->IsDraining() ? "draining" : "serving"},
              {"config_revision", this->dependencies.cluster->ConfigRevision()},
              {"config_digest", this->dependencies.cluster->ConfigDigest()},
              {"members", this->CountLiveMembers()},
              {"uptime_s", std::chrono::duration_cast<std::chrono::seconds>(uptime).count()},
              {"version", POPLARMOOR_VERSION}}
      .dump();
}

std::string OperatorsApi::ServicesJson() const {
  json services = json::array();
  for (const std::string& name : this->dependencies.view->ServiceNames()) {
    json service{{"service", name}};
    if (const auto group = this->dependencies.view->FindGroup(name)) {
      service["term"] = group->term;
      service["phase"] = kGroupPhaseNames.NameOf(group->phase);
      service["primary"] = group->primary;
      service["endpoints"] = json::array();
      for (const EndpointInfo& endpoint : group->endpoints) {
        service["endpoints"].push_back({{"name", endpoint.name},
                                        {"address", endpoint.address},
                                        {"failure_domain", endpoint.failure_domain},
                                        {"leaving", endpoint.leaving}});
      }
    }
    if (const auto settings = this->dependencies.view->FindSettings(name, "")) {
      service["pool"] = settings->pool;
      service["acknowledge"] = kAcknowledgeNames.NameOf(settings->acknowledge);
      service["routing"] = settings->routing;
      service["admission"] = settings->admission;
      service["slots"] = settings->slots;
      service["connections"] = settings->connections;
    }
    services.push_back(std::move(service));
  }
  return json{{"services", std::move(services)}}.dump();
}

std::string OperatorsApi::EndpointsJson() const {
  json endpoints = json::array();
  for (const EndpointLoad& load : this->dependencies.owner->EndpointLoads()) {
    json waiting;
    for (const auto& [rank, name] : kRankNames.rows) {
      waiting[std::string(name)] = load.waiting[static_cast<size_t>(rank)];
    }
    endpoints.push_back({{"endpoint", load.endpoint},
                         {"address", load.address},
                         {"waiting", std::move(waiting)},
                         {"running", load.running},
                         {"slots", load.slots},
                         {"connections", load.connections},
                         {"idle", load.idle},
                         {"transactions", load.transactions}});
  }
  return json{{"endpoints", std::move(endpoints)}}.dump();
}

std::string OperatorsApi::MembersJson() const {
  json members = json::array();
  for (const Member& member : this->dependencies.cluster->Members()) {
    members.push_back({{"daemon", member.daemon},
                       {"address", member.address},
                       {"failure_domain", member.failure_domain},
                       {"incarnation", member.incarnation},
                       {"state", kMemberStateNames.NameOf(member.state)}});
  }
  return json{{"members", std::move(members)}}.dump();
}

size_t OperatorsApi::CountLiveMembers() const {
  const std::vector<Member> members = this->dependencies.cluster->Members();
  return static_cast<size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const Member& member) { return member.state != MemberState::kDead; }));
}

void OperatorsApi::UpdateTraffic() const {
  Metrics& metrics = this->dependencies.telemetry->metrics;
  const auto [sent, received] = this->dependencies.control_traffic();
  metrics.Add(Metric::kControlBytes, {"sent"},
              static_cast<double>(sent - std::min(sent, this->reported_sent.exchange(sent))));
  metrics.Add(Metric::kControlBytes, {"received"},
              static_cast<double>(received -
                                  std::min(received, this->reported_received.exchange(received))));
}

std::string OperatorsApi::MetricsText() const {
  this->UpdateTraffic();
  Metrics& metrics = this->dependencies.telemetry->metrics;
  const auto uptime = std::chrono::steady_clock::now() - this->started;
  metrics.Set(Metric::kInFlight, {}, this->dependencies.entry->InFlight());
  metrics.Set(Metric::kStopping, {}, this->dependencies.entry->IsDraining() ? 1.0 : 0.0);
  metrics.Set(Metric::kUptime, {}, std::chrono::duration<double>(uptime).count());
  metrics.Set(Metric::kConfigRevision, {},
              static_cast<double>(this->dependencies.cluster->ConfigRevision()));
  const std::vector<EndpointLoad> loads = this->dependencies.owner->EndpointLoads();
  metrics.Set(Metric::kOwnedEndpoints, {}, static_cast<double>(loads.size()));
  for (const EndpointLoad& load : loads) {
    for (const auto& [rank, name] : kRankNames.rows) {
      metrics.Set(Metric::kQueueLength, {load.endpoint, name},
                  static_cast<double>(load.waiting[static_cast<size_t>(rank)]));
    }
    metrics.Set(Metric::kSlotsInUse, {load.endpoint}, load.running);
    metrics.Set(Metric::kConcurrencyLimit, {load.endpoint}, load.slots);
    metrics.Set(Metric::kEndpointConnections, {load.endpoint, "idle"}, load.idle);
    metrics.Set(Metric::kEndpointConnections, {load.endpoint, "busy"},
                load.connections - load.idle);
  }
  return metrics.ToPrometheus();
}

}  // namespace poplarmoor
